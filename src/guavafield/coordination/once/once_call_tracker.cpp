// State machine of at-most-once calls: callers, batching and timers. once_call_tracker_rows.cpp handles the replies for single rows.
#include <guavafield/coordination/once/once_call_tracker.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavafield {

OnceReply replyFromRecord(const OnceRecord &record)
{
    if (record.state == OnceState::Settled) {
        return {ResultCode::Ok, false, record.answer, true};
    }
    const bool refused = record.state == OnceState::Refused;
    return {refused ? ResultCode::OnceRefused : ResultCode::OnceOutcomeUnknown, refused};
}

OnceCallTracker::OnceCallTracker(OnceSettings settings, OnceCodec codec) : m_settings(std::move(settings)), m_codec(codec) { }

void OnceCallTracker::setPlatformTime(WallTime time) noexcept
{
    m_platformTime = time;
}

OnceCallId OnceCallTracker::begin(const OnceIdentity &call, SteadyTime now)
{
    const auto id = ++m_lastId;
    const auto name = call.team + "/" + call.keyDigest;
    if (auto *entry = find(name)) {
        if (entry->record.bodyDigest != call.bodyDigest) {
            answer(id, {ResultCode::OnceKeyReused, true});
        } else if (entry->phase == Phase::Settle) {
            answer(id, replyFromRecord(entry->record));
        } else {
            entry->waiters.push_back({id, now + m_settings.waitForOutcome});
        }
        return id;
    }
    if (!m_storeAvailable || m_entries.size() >= m_settings.maxCalls) {
        answer(id, {ResultCode::OnceStoreUnavailable, true});
        return id;
    }
    auto &entry = m_entries[name];
    entry.key = {"once", name};
    entry.record = {OnceState::Started, uniqueId(), call.bodyDigest, m_settings.host, {}, {}};
    entry.owner = id;
    entry.waiters.push_back({id, now + m_settings.waitForOutcome});
    enqueue(entry, now + m_settings.batchWindow);
    return id;
}

std::vector<OnceAction> OnceCallTracker::step(SteadyTime now)
{
    std::vector<OnceAction> actions;
    answerExpiredWaiters(now);
    readDue(now, actions);
    flush(now, actions);
    probe(now, actions);
    std::ranges::move(m_readyActions, std::back_inserter(actions));
    m_readyActions.clear();
    return actions;
}

std::optional<SteadyTime> OnceCallTracker::nextWakeup() const
{
    std::optional<SteadyTime> earliest;
    const auto consider = [&](SteadyTime time) { earliest = std::min(earliest.value_or(time), time); };
    if (!m_writeQueue.empty()) {
        consider(m_flushAt);
    }
    if (!m_storeAvailable) {
        consider(m_nextProbe);
    }
    for (const auto &[name, it] : m_entries) {
        if (it.retryAt) {
            consider(*it.retryAt);
        }
        for (const auto &waiter : it.waiters) {
            consider(waiter.deadline);
        }
    }
    return earliest;
}

void OnceCallTracker::onTransaction(std::uint64_t id, const TransactionReply &reply, SteadyTime now)
{
    const auto batch = m_transactions.extract(id);
    if (batch.empty()) {
        return;
    }
    const auto &names = batch.mapped();
    setStoreAvailable(std::holds_alternative<TransactionCommitted>(reply) || std::holds_alternative<TransactionConflict>(reply), now);
    for (std::size_t n = 0; n < names.size(); ++n) {
        auto &entry = *find(names[n]);
        std::visit(Overloaded{
                       [&](const TransactionCommitted &committed) { onWritten(entry, committed.versions.at(n), now); },
                       [&](const TransactionConflict &conflict) {
                           // The other rows of the batch were not written either; a read determines which of them still can be.
                           if (n == conflict.conditionIndex) {
                               onRow(entry, conflict.current, now);
                           } else {
                               scheduleRead(entry, now);
                           }
                       },
                       [&](const TransactionUnknown &) {
                           entry.mayHaveCommitted = true;
                           scheduleRead(entry, now);
                       },
                       [&](const TransactionRejected &) { onRejected(entry, now); },
                   },
                   reply);
    }
}

void OnceCallTracker::onRead(std::uint64_t id, const ReadReply &reply, SteadyTime now)
{
    const auto batch = m_reads.extract(id);
    if (batch.empty()) {
        return;
    }
    const auto &names = batch.mapped();
    const auto *rows = std::get_if<ReadRows>(&reply);
    setStoreAvailable(rows != nullptr, now);
    for (std::size_t n = 0; n < names.size(); ++n) {
        auto &entry = *find(names[n]);
        if (rows == nullptr || rows->rows.size() != names.size()) {
            scheduleRead(entry, now + m_settings.retryEvery);
        } else if (rows->rows[n].version < entry.expectedVersion) {
            // Stale read; the conditional write detects whether the row has changed.
            onUnchanged(entry, now);
        } else {
            onRow(entry, rows->rows[n], now);
        }
    }
}

void OnceCallTracker::onAnswered(OnceCallId call, OnceAnswer answer, SteadyTime now)
{
    auto *entry = runningEntry(call);
    if (entry == nullptr) {
        return;
    }
    for (const auto &it : std::exchange(entry->waiters, {})) {
        this->answer(it.call, {ResultCode::Ok, false, answer, it.call != call});
    }
    auto record = entry->record;
    record.state = OnceState::Settled;
    record.answer = std::move(answer);
    settle(*entry, std::move(record), now);
}

void OnceCallTracker::onAnswerLost(OnceCallId call)
{
    if (auto *entry = runningEntry(call)) {
        answerAll(*entry, {ResultCode::OnceOutcomeUnknown});
        erase(*entry);
    }
}

void OnceCallTracker::onNotSent(OnceCallId call, SteadyTime now)
{
    if (auto *entry = runningEntry(call)) {
        answerAll(*entry, {ResultCode::OnceRefused, true});
        auto record = entry->record;
        record.state = OnceState::Refused;
        settle(*entry, std::move(record), now);
    }
}

std::size_t OnceCallTracker::size() const noexcept
{
    return m_entries.size();
}

void OnceCallTracker::enqueue(Entry &entry, SteadyTime due)
{
    m_flushAt = m_writeQueue.empty() ? due : std::min(m_flushAt, due);
    m_writeQueue.push_back(entry.key.key);
    entry.retryAt.reset();
}

void OnceCallTracker::flush(SteadyTime now, std::vector<OnceAction> &actions)
{
    if (m_writeQueue.empty() || now < m_flushAt) {
        return;
    }
    const auto queue = std::exchange(m_writeQueue, {});
    for (std::size_t n = 0; n < queue.size(); n += m_settings.maxBatchRows) {
        const auto batch = std::span(queue).subspan(n, std::min(m_settings.maxBatchRows, queue.size() - n));
        actions.emplace_back(makeTransaction(batch));
    }
}

void OnceCallTracker::readDue(SteadyTime now, std::vector<OnceAction> &actions)
{
    std::vector<EntryName> due;
    for (auto &[name, entry] : m_entries) {
        if (entry.retryAt && *entry.retryAt <= now) {
            entry.retryAt.reset();
            due.push_back(name);
        }
    }
    for (std::size_t n = 0; n < due.size(); n += m_settings.maxBatchRows) {
        const auto last = std::min(due.size(), n + m_settings.maxBatchRows);
        actions.emplace_back(makeRead({due.begin() + static_cast<std::ptrdiff_t>(n), due.begin() + static_cast<std::ptrdiff_t>(last)}));
    }
}

void OnceCallTracker::answerExpiredWaiters(SteadyTime now)
{
    std::vector<EntryName> finished;
    for (auto &[name, candidate] : m_entries) {
        auto &entry = candidate;
        // The owner of a running call is answered when its upstream answers or times out.
        const auto late = std::stable_partition(entry.waiters.begin(), entry.waiters.end(), [&](const Waiter &it) {
            return it.deadline > now || (entry.phase == Phase::Run && it.call == entry.owner);
        });
        std::for_each(late, entry.waiters.end(), [&](const Waiter &it) { answer(it.call, {ResultCode::OnceOutcomeUnknown}); });
        entry.waiters.erase(late, entry.waiters.end());
        if (entry.phase == Phase::Poll && entry.waiters.empty() && entry.retryAt) {
            finished.push_back(name);
        }
    }
    for (const auto &it : finished) {
        m_entries.erase(it);
    }
}

void OnceCallTracker::probe(SteadyTime now, std::vector<OnceAction> &actions)
{
    if (!m_storeAvailable && now >= m_nextProbe) {
        m_nextProbe = now + m_settings.retryEvery;
        auto read = makeRead({});
        read.keys.push_back({"once", "probe"});
        actions.emplace_back(std::move(read));
    }
}

OnceReadAction OnceCallTracker::makeRead(std::vector<EntryName> names)
{
    OnceReadAction read{++m_lastId, {}};
    for (const auto &it : names) {
        read.keys.push_back({"once", it});
    }
    m_reads.emplace(read.id, std::move(names));
    return read;
}

OnceTransactAction OnceCallTracker::makeTransaction(std::span<const EntryName> names)
{
    OnceTransactAction action{++m_lastId, {uniqueId(), {}, {}}};
    for (const auto &it : names) {
        const auto &entry = *find(it);
        action.transaction.conditions.push_back({entry.key, entry.expectedVersion});
        action.transaction.writes.push_back({entry.key, m_codec.encode(entry.record)});
    }
    m_transactions.emplace(action.id, std::vector<EntryName>(names.begin(), names.end()));
    return action;
}

void OnceCallTracker::scheduleRead(Entry &entry, SteadyTime due)
{
    entry.retryAt = due;
}

void OnceCallTracker::answer(OnceCallId call, OnceReply reply)
{
    m_readyActions.emplace_back(OnceReplyAction{call, std::move(reply)});
}

void OnceCallTracker::answerAll(Entry &entry, const OnceReply &reply)
{
    for (const auto &it : std::exchange(entry.waiters, {})) {
        answer(it.call, reply);
    }
}

void OnceCallTracker::erase(const Entry &entry)
{
    m_running.erase(entry.owner);
    m_entries.erase(EntryName(entry.key.key));
}

OnceCallTracker::Entry *OnceCallTracker::find(const EntryName &name)
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? nullptr : &it->second;
}

OnceCallTracker::Entry *OnceCallTracker::runningEntry(OnceCallId call)
{
    const auto it = m_running.find(call);
    return it == m_running.end() ? nullptr : find(it->second);
}

std::string OnceCallTracker::uniqueId()
{
    return m_settings.host + "/" + std::to_string(m_settings.incarnation) + "/" + std::to_string(++m_lastId);
}

void OnceCallTracker::setStoreAvailable(bool available, SteadyTime now)
{
    if (m_storeAvailable && !available) {
        m_nextProbe = now + m_settings.retryEvery;
    }
    m_storeAvailable = available;
}

} // namespace guavafield
