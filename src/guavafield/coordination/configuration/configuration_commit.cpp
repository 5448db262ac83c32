// State transitions of a commit.
#include <guavafield/coordination/configuration/configuration_commit.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// With a wait of 250 ms between attempts, an operator gets a reply within a few seconds.
constexpr int maxAttempts = 8;

} // namespace internal

CommitStep ConfigurationCommit::start() const
{
    return CommitReadHead{};
}

CommitStep ConfigurationCommit::onHead(const ConfigurationHead &head)
{
    if (head.revision != m_baseRevision) {
        return CommitConflict{head.revision};
    }
    m_head = head;
    return CommitWrite{head.version, std::max(head.minimumSchema, schemaVersion), m_baseRevision + 1, m_id};
}

CommitStep ConfigurationCommit::onHeadFailed() const
{
    return CommitUnavailable{};
}

CommitStep ConfigurationCommit::onWritten() const
{
    return CommitAccepted{m_baseRevision + 1};
}

CommitStep ConfigurationCommit::onHeadConflict(const ConfigurationHead &current)
{
    if (current.id == m_id) {
        return CommitAccepted{current.revision};
    }
    if (!m_replyLost) {
        return CommitConflict{current.revision};
    }
    m_supersedingRevision = current.revision;
    return CommitReadChange{m_baseRevision + 1};
}

CommitStep ConfigurationCommit::onReplyLost()
{
    m_replyLost = true;
    return CommitReadChange{m_baseRevision + 1};
}

CommitStep ConfigurationCommit::onRejected()
{
    return m_replyLost ? retryOrGiveUp() : CommitStep{CommitUnavailable{}};
}

CommitStep ConfigurationCommit::onChangeRow(std::optional<std::string_view> id)
{
    if (id == m_id) {
        return CommitAccepted{m_baseRevision + 1};
    }
    if (id || m_supersedingRevision) {
        return CommitConflict{m_supersedingRevision.value_or(m_baseRevision + 1)};
    }
    if (++m_attempts >= internal::maxAttempts) {
        return CommitOutcomeUnknown{};
    }
    return onHead(m_head);
}

CommitStep ConfigurationCommit::onChangeRowFailed()
{
    return retryOrGiveUp();
}

CommitStep ConfigurationCommit::onWaited() const
{
    return CommitReadChange{m_baseRevision + 1};
}

CommitStep ConfigurationCommit::retryOrGiveUp()
{
    return ++m_attempts < internal::maxAttempts ? CommitStep{CommitWait{}} : CommitStep{CommitOutcomeUnknown{}};
}

} // namespace guavafield
