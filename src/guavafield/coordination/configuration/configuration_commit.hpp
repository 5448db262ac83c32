// State machine without I/O that commits a change by compare-and-set on the row config/head.
#pragma once

#include <guavafield/coordination/configuration/configuration_rows.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace guavafield {

/*! @brief Read config/head; answer with onHead() or onHeadFailed(). */
struct CommitReadHead
{
};
/*! @brief Write head and change row if the head has this version; answer with onWritten(), onHeadConflict(), onReplyLost() or onRejected(). */
struct CommitWrite
{
    RowVersion headVersion{0};
    SchemaVersion minimumSchema{schemaVersion};
    Revision revision{0};
    std::string id;
};
/*! @brief Read the change row of this revision; answer with onChangeRow() or onChangeRowFailed(). */
struct CommitReadChange
{
    Revision revision{0};
};
/*! @brief Wait before the next attempt, then call onWaited(). */
struct CommitWait
{
};

/*! @brief The change was committed as this revision. */
struct CommitAccepted
{
    Revision revision{0};
};
/*! @brief Another change was committed first; nothing was written. */
struct CommitConflict
{
    // Revision of the platform after the winning change.
    Revision current{0};
};
/*! @brief The platform is unavailable; nothing was written. */
struct CommitUnavailable
{
};
/*! @brief Replies of the platform were lost; the change may have been committed or may still be. */
struct CommitOutcomeUnknown
{
};

using CommitStep =
    std::variant<CommitReadHead, CommitWrite, CommitReadChange, CommitWait, CommitAccepted, CommitConflict, CommitUnavailable, CommitOutcomeUnknown>;

/*!
 * @brief Commits a change on top of a base revision, or detects that another change was committed first.
 *
 * Each call returns the next step; the last four alternatives of CommitStep are final. The same write is repeated after a lost reply: its
 * condition on the version of the head row ensures that it takes effect at most once.
 */
class ConfigurationCommit
{
public:
    /*!
     * @param id Unique id of the change.
     * @param base Revision against which the change was validated.
     */
    ConfigurationCommit(std::string id, Revision base) : m_id(std::move(id)), m_baseRevision(base) { }

    [[nodiscard]] CommitStep start() const;
    [[nodiscard]] CommitStep onHead(const ConfigurationHead &head);
    [[nodiscard]] CommitStep onHeadFailed() const;
    [[nodiscard]] CommitStep onWritten() const;
    /*! @brief Handles a failed condition of the write: the head row has another version than expected. */
    [[nodiscard]] CommitStep onHeadConflict(const ConfigurationHead &current);
    [[nodiscard]] CommitStep onReplyLost();
    [[nodiscard]] CommitStep onRejected();
    /*! @brief Takes the id stored in the change row; empty if the row is absent. */
    [[nodiscard]] CommitStep onChangeRow(std::optional<std::string_view> id);
    [[nodiscard]] CommitStep onChangeRowFailed();
    [[nodiscard]] CommitStep onWaited() const;

private:
    [[nodiscard]] CommitStep retryOrGiveUp();

    std::string m_id;
    Revision m_baseRevision;
    ConfigurationHead m_head;
    // The reply to a write was lost, so the change may have taken effect.
    bool m_replyLost{false};
    // Revision of the head after another change, once known.
    std::optional<Revision> m_supersedingRevision;
    int m_attempts{0};
};

} // namespace guavafield
