// Keeps a billing window from being sealed anew after the table service has lost its seal.
#pragma once

#include <guavafield/coordination/lease/lease_record.hpp>
#include <guavafield/coordination/table/table.hpp>
#include <guavafield/coordination/table/table_io.hpp>
#include <guavafield/coordination/usage/window_aggregator.hpp>

#include <optional>
#include <utility>

namespace guavafield {

/*! @brief Value of the row that holds the floor. */
struct SealFloorRecord
{
    // epochStart() of the epoch of the table service for which the floor was determined.
    RowVersion epoch{0};
    // Last window that may have been sealed in an earlier epoch.
    BillingWindow window{0};
};

/*!
 * @brief The last billing window that must not be sealed anew.
 *
 * A table service that begins a new epoch has lost its last writes, among them perhaps the seal of a window that was reported and the lease of the host
 * that did so. Only windows that ended after the epoch had begun cannot have been sealed before it. The first holder of each epoch writes the floor.
 *
 * Each holder writes the floor's row at the start of its tenure, and seals on condition of that version. A table that has lost a seal of an earlier holder
 * has also lost this later write, so that a seal under the old floor fails. Not safe for several threads.
 */
class SealFloor
{
public:
    SealFloor(RowKey key, RecordCodec<SealFloorRecord> codec) : m_key(std::move(key)), m_codec(codec) { }

    /*!
     * @brief Records that this host knows a version of the table service; call it often, holder or not.
     * @param openWindow The window of the present time.
     */
    void onVersionKnown(RowVersion version, BillingWindow openWindow) noexcept;

    /*! @brief Begins a tenure under a fencing token, whose floor is not known yet. */
    void beginTenure(Fence fence) noexcept;
    /*!
     * @brief Returns the transaction that writes the floor of this tenure; empty if the row is that of another epoch.
     * @param row The floor's row as read in this tenure.
     */
    [[nodiscard]] std::optional<Transaction> claim(const Row &row, BillingWindow openWindow);
    /*! @brief Takes the version that the claim has written; 0 if it failed. */
    void onClaimed(RowVersion version) noexcept;

    /*! @brief Returns whether the floor of this tenure is known. */
    [[nodiscard]] bool known() const noexcept
    {
        return m_claimed.has_value();
    }
    /*! @brief Returns whether a window must not be sealed anew; only valid while the floor is known. */
    [[nodiscard]] bool covers(BillingWindow window) const noexcept
    {
        return window <= m_record.window;
    }
    /*! @brief Returns the condition under which windows may be sealed; only valid while the floor is known. */
    [[nodiscard]] RowCondition condition() const
    {
        return {m_key, m_claimed.value_or(0)};
    }
    /*! @brief Returns whether a version is of the epoch of this tenure. */
    [[nodiscard]] bool inEpoch(RowVersion version) const noexcept
    {
        return epochStart(version) == m_record.epoch;
    }
    [[nodiscard]] const RowKey &key() const noexcept
    {
        return m_key;
    }
    [[nodiscard]] BillingWindow window() const noexcept
    {
        return m_record.window;
    }

private:
    RowKey m_key;
    RecordCodec<SealFloorRecord> m_codec;
    // Newest epoch that this host knows, and the window that was open when it first did.
    RowVersion m_newestEpoch{0};
    std::optional<BillingWindow> m_openAtFirstSight;
    // Of the present tenure.
    SealFloorRecord m_record;
    // Version of the floor's row that this tenure has written.
    std::optional<RowVersion> m_claimed;
};

} // namespace guavafield
