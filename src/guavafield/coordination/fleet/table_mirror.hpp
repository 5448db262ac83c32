// Local copy of a small table that others write, updated from the table's change feed or from peers.
#pragma once

#include <guavafield/coordination/table/table.hpp>
#include <guavafield/state/types.hpp>

#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief A row, or the removal of one. */
struct MirroredRow
{
    std::string key;
    RowVersion version{0};
    // Empty if the row was removed at this version.
    std::optional<std::string> value;

    friend bool operator==(const MirroredRow &, const MirroredRow &) = default;
};

/*! @brief Versions up to which a host's copy of a table is current, and its age. */
struct TableKnowledge
{
    // Version of the latest known change.
    RowVersion content{0};
    // No change is missing up to this version.
    RowVersion complete{0};
    // Time since that was last confirmed.
    Milliseconds age{0};
};

/*!
 * @brief Rows by key with their versions; neither a row nor the table reverts to an older version.
 *
 * Not thread-safe.
 */
class TableMirror
{
public:
    /*!
     * @brief Applies changes.
     * @param complete Version up to which no change is missing.
     * @param confirmed Time at which that was the case.
     * @return Whether a row changed.
     */
    bool apply(std::span<const MirroredRow> rows, RowVersion complete, SteadyTime confirmed);
    /*! @brief Applies a full read of the table; a read that is older than the mirror is ignored. */
    bool replace(std::span<const MirroredRow> rows, RowVersion complete, SteadyTime confirmed);
    /*! @brief Records that there is no further change up to a version. */
    void confirm(RowVersion complete, SteadyTime confirmed);

    /*! @brief Records that all changes up to a version were applied, even if their rows were removed since. */
    void advanceContent(RowVersion content);

    /*! @brief Returns the changes after a version; empty if some of them were compacted. */
    [[nodiscard]] std::optional<std::vector<MirroredRow>> changesAfter(RowVersion version) const;
    /*! @brief Returns all rows except removed ones. */
    [[nodiscard]] std::vector<MirroredRow> rows() const;

    [[nodiscard]] bool hasBeenRead() const noexcept
    {
        return m_confirmed.has_value();
    }
    [[nodiscard]] RowVersion content() const noexcept
    {
        return m_content;
    }
    [[nodiscard]] RowVersion complete() const noexcept
    {
        return m_complete;
    }
    /*! @brief Returns a counter that is incremented with each change of a row. */
    [[nodiscard]] std::uint64_t changes() const noexcept
    {
        return m_changes;
    }
    /*! @brief Returns when the rows were last confirmed to be current; empty before the first read. */
    [[nodiscard]] std::optional<SteadyTime> confirmed() const noexcept
    {
        return m_confirmed;
    }
    /*! @brief Returns versions and age to report to peers. */
    [[nodiscard]] TableKnowledge knowledge(SteadyTime now) const;

private:
    bool applyRow(const MirroredRow &row);
    void recordRemoval(const std::string &removed);

    // Includes removed rows.
    StringMap<MirroredRow> m_rows;
    // Keys of removed rows, oldest first.
    std::deque<std::string> m_removed;
    // Removals up to this version may have been compacted.
    RowVersion m_compactedVersion{0};
    RowVersion m_content{0};
    std::uint64_t m_changes{0};
    RowVersion m_complete{0};
    std::optional<SteadyTime> m_confirmed;
};

} // namespace guavafield
