// Commits one change by compare-and-set on the row config/head: a state machine without I/O.
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
/*! @brief Write head and change row if the head still has this version; answer with onWritten(), onHeadConflict(), onReplyLost() or onRejected(). */
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
/*! @brief Wait for a moment, then call onWaited(). */
struct CommitWait
{
};

/*! @brief The change is in force from this revision on. */
struct CommitAccepted
{
    Revision revision{0};
};
/*! @brief Another change was accepted first; nothing was written. */
struct CommitConflict
{
    // The platform's revision after the winning change.
    Revision current{0};
};
/*! @brief The platform is unavailable; nothing was written. */
struct CommitUnavailable
{
};
/*! @brief The platform's answers were lost; the change may have been accepted, or may still be. */
struct CommitOutcomeUnknown
{
};

using CommitStep =
    std::variant<CommitReadHead, CommitWrite, CommitReadChange, CommitWait, CommitAccepted, CommitConflict, CommitUnavailable, CommitOutcomeUnknown>;

/*!
 * @brief Commits a change to one base revision, or finds out that another one won.
 *
 * Each call returns the next step; the last four alternatives of CommitStep end it. The same write is repeated after a lost answer: its
 * condition on the head's version lets it take effect at most once.
 */
class ConfigurationCommit
{
public:
    /*!
     * @param id Unique id of the change.
     * @param base Revision that the change was validated against.
     */
    ConfigurationCommit(std::string id, Revision base) : m_id(std::move(id)), m_base(base) { }

    [[nodiscard]] CommitStep start() const;
    [[nodiscard]] CommitStep onHead(const ConfigurationHead &head);
    [[nodiscard]] CommitStep onHeadFailed() const;
    [[nodiscard]] CommitStep onWritten() const;
    /*! @brief The head had another version than expected. */
    [[nodiscard]] CommitStep onHeadConflict(const ConfigurationHead &current);
    [[nodiscard]] CommitStep onReplyLost();
    [[nodiscard]] CommitStep onRejected();
    /*! @brief The id found in the change row; empty if the row is absent. */
    [[nodiscard]] CommitStep onChangeRow(std::optional<std::string_view> id);
    [[nodiscard]] CommitStep onChangeRowFailed();
    [[nodiscard]] CommitStep onWaited() const;

private:
    [[nodiscard]] CommitStep waitOrGiveUp();

    std::string m_id;
    Revision m_base;
    ConfigurationHead m_head;
    // An answer to a write was lost, so that the change may have taken effect.
    bool m_lost{false};
    // The head after somebody's change, once known.
    std::optional<Revision> m_overtakenBy;
    int m_attempts{0};
};

} // namespace guavafield
