// Steps of a commit.
#include <guavafield/coordination/configuration/configuration_commit.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// With a wait of 250 ms between them, operators get an answer in a few seconds.
constexpr int maxAttempts = 8;

} // namespace internal

CommitStep ConfigurationCommit::start() const
{
    return CommitReadHead{};
}

CommitStep ConfigurationCommit::onHead(const ConfigurationHead &head)
{
    if (head.revision != m_base) {
        return CommitConflict{head.revision};
    }
    m_head = head;
    return CommitWrite{head.version, std::max(head.minimumSchema, schemaVersion), m_base + 1, m_id};
}

CommitStep ConfigurationCommit::onHeadFailed() const
{
    return CommitUnavailable{};
}

CommitStep ConfigurationCommit::onWritten() const
{
    return CommitAccepted{m_base + 1};
}

CommitStep ConfigurationCommit::onHeadConflict(const ConfigurationHead &current)
{
    if (current.id == m_id) {
        return CommitAccepted{current.revision};
    }
    if (!m_lost) {
        return CommitConflict{current.revision};
    }
    m_overtakenBy = current.revision;
    return CommitReadChange{m_base + 1};
}

CommitStep ConfigurationCommit::onReplyLost()
{
    m_lost = true;
    return CommitReadChange{m_base + 1};
}

CommitStep ConfigurationCommit::onRejected()
{
    return m_lost ? waitOrGiveUp() : CommitStep{CommitUnavailable{}};
}

CommitStep ConfigurationCommit::onChangeRow(std::optional<std::string_view> id)
{
    if (id == m_id) {
        return CommitAccepted{m_base + 1};
    }
    if (id || m_overtakenBy) {
        return CommitConflict{m_overtakenBy.value_or(m_base + 1)};
    }
    if (++m_attempts >= internal::maxAttempts) {
        return CommitOutcomeUnknown{};
    }
    return onHead(m_head);
}

CommitStep ConfigurationCommit::onChangeRowFailed()
{
    return waitOrGiveUp();
}

CommitStep ConfigurationCommit::onWaited() const
{
    return CommitReadChange{m_base + 1};
}

CommitStep ConfigurationCommit::waitOrGiveUp()
{
    return ++m_attempts < internal::maxAttempts ? CommitStep{CommitWait{}} : CommitStep{CommitOutcomeUnknown{}};
}

} // namespace guavafield
