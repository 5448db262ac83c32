// A host's copy of a small table that others write, kept up by the table's change feed or by peers.
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
    // Empty: removed at this version.
    std::optional<std::string> value;

    friend bool operator==(const MirroredRow &, const MirroredRow &) = default;
};

/*! @brief What a host knows of a table. */
struct TableKnowledge
{
    // Of the latest change that is known.
    RowVersion content{0};
    // No later change up to this version.
    RowVersion complete{0};
    // Since that was last confirmed.
    Milliseconds age{0};
};

/*!
 * @brief Rows by key with their versions; never goes back to an older version of a row or of the table.
 *
 * Not safe for several threads.
 */
class TableMirror
{
public:
    /*!
     * @brief Takes changes, of which none up to a version is missing.
     * @param confirmed When this was true.
     * @return Whether a row changed.
     */
    bool apply(std::span<const MirroredRow> rows, RowVersion complete, SteadyTime confirmed);
    /*! @brief Takes all rows of the table; a reading that is older than what is known changes nothing. */
    bool replace(std::span<const MirroredRow> rows, RowVersion complete, SteadyTime confirmed);
    /*! @brief Notes that nothing changed up to a version. */
    void confirm(RowVersion complete, SteadyTime confirmed);

    /*! @brief Notes that all changes up to a version were taken, whether or not a row is left of them. */
    void advanceContent(RowVersion content);

    /*! @brief Returns the changes after a version; empty if some of them are no longer known. */
    [[nodiscard]] std::optional<std::vector<MirroredRow>> changesAfter(RowVersion version) const;
    /*! @brief Returns all rows, removed ones left out. */
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
    /*! @brief Returns a number that rises with each change of a row. */
    [[nodiscard]] std::uint64_t changes() const noexcept
    {
        return m_changes;
    }
    /*! @brief Returns when the table was last known to have no other rows; empty before the first reading. */
    [[nodiscard]] std::optional<SteadyTime> confirmed() const noexcept
    {
        return m_confirmed;
    }
    /*! @brief Returns what to tell peers. */
    [[nodiscard]] TableKnowledge knowledge(SteadyTime now) const;

private:
    bool applyRow(const MirroredRow &row);
    void recordRemoval(const std::string &removed);

    // With removed rows.
    StringMap<MirroredRow> m_rows;
    // Keys of removed rows, oldest first.
    std::deque<std::string> m_removed;
    // Changes up to this version may be forgotten.
    RowVersion m_compactedVersion{0};
    RowVersion m_content{0};
    std::uint64_t m_changes{0};
    RowVersion m_complete{0};
    std::optional<SteadyTime> m_confirmed;
};

} // namespace guavafield
