// State machine that counts and flushes a host's usage.
#include <guavafield/coordination/usage/usage_meter.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace guavafield {

namespace internal {

std::string paddedRowNumber(std::uint64_t number)
{
    // Keys sort in numeric order up to 100 million rows, which is 47 years of flushes.
    constexpr std::size_t digits = 8;
    auto text = std::to_string(number);
    return text.insert(0, digits - std::min(digits, text.size()), '0');
}

} // namespace internal

UsageMeter::UsageMeter(UsageMeterSettings settings, UsageCodec codec) : m_settings(std::move(settings)), m_codec(codec) { }

void UsageMeter::setPlatformTime(WallTime time, SteadyTime now)
{
    if (!m_platformTimeOffset) {
        m_nextFlush = now + m_settings.flushPhase;
    }
    m_platformTimeOffset = time.time_since_epoch() - std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
}

void UsageMeter::count(const UsageDimensions &dimensions, const UsageCounts &counts, SteadyTime now)
{
    advanceWindow(now);
    m_openCounts[dimensions] += counts;
}

std::optional<TransactAction> UsageMeter::step(SteadyTime now)
{
    advanceWindow(now);
    if (!m_openWindow || m_outstanding) {
        return std::nullopt;
    }
    if (now >= m_nextFlush || m_stopping) {
        m_nextFlush = std::max(m_nextFlush + m_settings.flushEvery, now);
        if (!m_lastFailed || m_stopping) {
            moveOpenToBacklog();
        }
    }
    if (now < m_notBefore) {
        return std::nullopt;
    }
    takeFromBacklog(*m_openWindow);
    if (!m_pending) {
        return std::nullopt;
    }
    m_outstanding = true;
    m_notBefore = now + m_settings.rowInterval;
    return makeTransaction();
}

void UsageMeter::onTransaction(const TransactionReply &reply, SteadyTime now)
{
    m_outstanding = false;
    m_lastFailed = false;
    const auto fail = [&] {
        m_lastFailed = true;
        m_notBefore = now + m_settings.retryEvery;
    };
    std::visit(Overloaded{
                   [&](const TransactionCommitted &) { m_pending->checkingInsert ? requeueAsCorrection() : m_pending.reset(); },
                   [&](const TransactionConflict &conflict) { m_pending->checkingInsert ? onCheckConflict(conflict) : onInsertConflict(conflict); },
                   [&](const TransactionUnknown &) {
                       m_pending->mayHaveCommitted = true;
                       fail();
                   },
                   [&](const TransactionRejected &) { fail(); },
               },
               reply);
}

void UsageMeter::stop() noexcept
{
    m_stopping = true;
}

bool UsageMeter::drained() const noexcept
{
    return m_openCounts.empty() && m_backlog.empty() && !m_pending;
}

std::uint64_t UsageMeter::droppedSections() const noexcept
{
    return m_droppedSections;
}

std::size_t UsageMeter::bufferedBytes() const noexcept
{
    return std::accumulate(
        m_backlog.begin(), m_backlog.end(), std::size_t{0}, [](std::size_t sum, const BacklogEntry &it) { return sum + it.section.packed.size(); });
}

std::optional<UsageWindow> UsageMeter::windowAt(SteadyTime now) const noexcept
{
    if (!m_platformTimeOffset) {
        return std::nullopt;
    }
    return usageWindowAt(WallTime{*m_platformTimeOffset + std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch())});
}

void UsageMeter::advanceWindow(SteadyTime now)
{
    const auto current = windowAt(now);
    if (!current || (m_openWindow && *current <= *m_openWindow)) {
        return;
    }
    if (m_openWindow) {
        moveOpenToBacklog();
    }
    m_openWindow = current;
    dropExpired(*current);
}

void UsageMeter::moveOpenToBacklog()
{
    if (!m_openCounts.empty()) {
        m_backlog.push_back({{*m_openWindow, m_codec.pack(std::exchange(m_openCounts, {}))}, false});
    }
}

void UsageMeter::dropExpired(UsageWindow current)
{
    const auto oldest = current - std::chrono::seconds(m_settings.retention).count();
    const auto dropped = std::erase_if(m_backlog, [&](const BacklogEntry &it) { return it.section.window < oldest; });
    m_droppedSections += dropped;
    if (m_pending && !m_outstanding && m_pending->entry.section.window < oldest) {
        m_pending.reset();
        ++m_droppedSections;
    }
}

void UsageMeter::takeFromBacklog(UsageWindow current)
{
    if (m_pending || m_backlog.empty()) {
        return;
    }
    Pending pending;
    pending.entry = std::move(m_backlog.front());
    pending.rowWindow = pending.entry.windowClosed ? current : pending.entry.section.window;
    m_pending = std::move(pending);
    m_backlog.pop_front();
    assignRowNumber();
}

void UsageMeter::assignRowNumber()
{
    m_pending->number = ++m_lastNumber;
    const auto prefix = usageWindowName(m_pending->rowWindow) + "/" + m_settings.self.host + "/" + std::to_string(m_settings.self.incarnation);
    m_pending->key = {"usage", prefix + "/" + internal::paddedRowNumber(m_pending->number)};
    m_pending->doneKey = {"usage-done", prefix};
}

TransactAction UsageMeter::makeTransaction()
{
    const auto id = m_settings.self.host + "/" + std::to_string(m_settings.self.incarnation) + "/usage/" + std::to_string(++m_lastId);
    const auto &pending = *m_pending;
    if (pending.checkingInsert) {
        return {{id, {{pending.key, 0}, {pending.doneKey, 0}}, {{pending.key, m_codec.row.encode({})}}}};
    }
    return {{id, {{pending.key, 0}, {sealKey(pending.rowWindow), 0}}, {{pending.key, m_codec.row.encode({{pending.entry.section}})}}}};
}

void UsageMeter::onInsertConflict(const TransactionConflict &conflict)
{
    const bool closed = conflict.conditionIndex == 1;
    if (!closed && m_pending->mayHaveCommitted) {
        m_pending.reset();
    } else if (!closed) {
        // Another process with the same incarnation has used this number.
        assignRowNumber();
    } else if (m_pending->mayHaveCommitted) {
        m_pending->checkingInsert = true;
    } else {
        requeueAsCorrection();
    }
}

void UsageMeter::onCheckConflict(const TransactionConflict &conflict)
{
    bool inserted = true;
    if (conflict.conditionIndex == 0) {
        const auto row = m_codec.row.decode(conflict.current.value);
        inserted = !row || !row->sections.empty();
    } else {
        const auto done = m_codec.done.decode(conflict.current.value);
        inserted = done && done->lastRow >= m_pending->number;
    }
    if (inserted) {
        m_pending.reset();
    } else {
        requeueAsCorrection();
    }
}

void UsageMeter::requeueAsCorrection()
{
    m_backlog.push_front({std::move(m_pending->entry.section), true});
    m_pending.reset();
}

} // namespace guavafield
