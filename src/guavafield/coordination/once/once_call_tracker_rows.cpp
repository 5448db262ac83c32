// State transitions of OnceCallTracker for single rows: written, rejected, found changed or found unchanged.
#include <guavafield/coordination/once/once_call_tracker.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

void OnceCallTracker::onWritten(Entry &entry, RowVersion version, SteadyTime now)
{
    const auto record = entry.record;
    onOwnRecord(entry, record, version, now);
}

void OnceCallTracker::onRejected(Entry &entry, SteadyTime now)
{
    if (entry.phase == Phase::Insert && !entry.mayHaveCommitted) {
        answerAll(entry, {ResultCode::OnceStoreUnavailable, true});
        erase(entry);
        return;
    }
    scheduleRead(entry, now + m_settings.retryEvery);
}

void OnceCallTracker::onRow(Entry &entry, const Row &row, SteadyTime now)
{
    if (row.version == entry.expectedVersion && entry.phase != Phase::Poll) {
        onUnchanged(entry, now);
        return;
    }
    // Versions are never reused, so no write conditional on the expected version can take effect any more.
    entry.mayHaveCommitted = false;
    if (row.version == 0) {
        // The row was deleted after it expired.
        onForeignRecord(entry, OnceRecord{OnceState::Refused, {}, {}, {}, {}, {}}, 0, now);
        return;
    }
    const auto record = m_codec.decode(row.value);
    if (!record) {
        answerAll(entry, {ResultCode::OnceOutcomeUnknown});
        erase(entry);
    } else if (record->id == entry.record.id) {
        onOwnRecord(entry, *record, row.version, now);
    } else {
        onForeignRecord(entry, *record, row.version, now);
    }
}

void OnceCallTracker::onUnchanged(Entry &entry, SteadyTime now)
{
    if (entry.phase == Phase::Insert && entry.mayHaveCommitted) {
        entry.phase = Phase::Tombstone;
        entry.record.state = OnceState::Refused;
        entry.record.settledAt = m_platformTime;
    }
    enqueue(entry, now);
}

void OnceCallTracker::onOwnRecord(Entry &entry, const OnceRecord &record, RowVersion version, SteadyTime now)
{
    if (entry.phase == Phase::Settle) {
        erase(entry);
    } else if (record.state == OnceState::Started) {
        onInserted(entry, version, now);
    } else {
        answerAll(entry, replyFromRecord(record));
        erase(entry);
    }
}

void OnceCallTracker::onForeignRecord(Entry &entry, const OnceRecord &record, RowVersion version, SteadyTime now)
{
    if (entry.waiters.empty()) {
        erase(entry);
        return;
    }
    const bool expired = record.state != OnceState::Started && m_platformTime >= record.settledAt + m_settings.expireAfter;
    if (!expired && record.bodyDigest != entry.record.bodyDigest) {
        answerAll(entry, {ResultCode::OnceKeyReused, true});
        erase(entry);
    } else if (expired) {
        entry.phase = Phase::Insert;
        entry.record.state = OnceState::Started;
        entry.expectedVersion = version;
        enqueue(entry, now);
    } else if (record.state == OnceState::Started) {
        entry.phase = Phase::Poll;
        entry.pollInterval = std::clamp(entry.pollInterval * 2, m_settings.pollEvery, m_settings.retryEvery);
        scheduleRead(entry, now + entry.pollInterval);
    } else {
        answerAll(entry, replyFromRecord(record));
        erase(entry);
    }
}

void OnceCallTracker::onInserted(Entry &entry, RowVersion version, SteadyTime now)
{
    entry.record.state = OnceState::Started;
    entry.expectedVersion = version;
    entry.mayHaveCommitted = false;
    const bool ownerWaits = std::ranges::any_of(entry.waiters, [&](const Waiter &it) { return it.call == entry.owner; });
    if (ownerWaits) {
        entry.phase = Phase::Run;
        m_running.emplace(entry.owner, entry.key.key);
        m_readyActions.emplace_back(OnceSendAction{entry.owner});
        return;
    }
    // The owner has already been answered with an unknown outcome; the call was not sent and never will be.
    answerAll(entry, {ResultCode::OnceRefused, true});
    auto record = entry.record;
    record.state = OnceState::Refused;
    settle(entry, std::move(record), now);
}

void OnceCallTracker::settle(Entry &entry, OnceRecord record, SteadyTime now)
{
    m_running.erase(entry.owner);
    record.settledAt = m_platformTime;
    entry.record = std::move(record);
    entry.phase = Phase::Settle;
    enqueue(entry, now + m_settings.batchWindow);
}

} // namespace guavafield
