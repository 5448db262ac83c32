// State machine of a host's usage counters.
#include <guavafield/coordination/usage/usage_meter.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace guavafield {

namespace internal {

std::string rowNumberName(std::uint64_t number)
{
    // Keys sort like the numbers up to 100 million rows, 47 years of flushes.
    constexpr std::size_t digits = 8;
    auto text = std::to_string(number);
    return text.insert(0, digits - std::min(digits, text.size()), '0');
}

} // namespace internal

UsageMeter::UsageMeter(UsageMeterSettings settings, UsageCodec codec) : m_settings(std::move(settings)), m_codec(codec) { }

void UsageMeter::setPlatformTime(WallTime time, SteadyTime now)
{
    if (!m_offset) {
        m_nextFlush = now + m_settings.flushPhase;
    }
    m_offset = time.time_since_epoch() - std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
}

void UsageMeter::count(const UsageDimensions &subject, const UsageCounts &counts, SteadyTime now)
{
    roll(now);
    m_open[subject] += counts;
}

std::optional<TransactAction> UsageMeter::step(SteadyTime now)
{
    roll(now);
    if (!m_openWindow || m_outstanding) {
        return std::nullopt;
    }
    if (now >= m_nextFlush || m_stopping) {
        m_nextFlush = std::max(m_nextFlush + m_settings.flushEvery, now);
        if (!m_failing || m_stopping) {
            closeOpen();
        }
    }
    if (now < m_notBefore) {
        return std::nullopt;
    }
    prepare(*m_openWindow);
    if (!m_pending) {
        return std::nullopt;
    }
    m_outstanding = true;
    m_notBefore = now + m_settings.rowInterval;
    return transaction();
}

void UsageMeter::onTransaction(const TransactionReply &reply, SteadyTime now)
{
    m_outstanding = false;
    m_failing = false;
    const auto fail = [&] {
        m_failing = true;
        m_notBefore = now + m_settings.retryEvery;
    };
    std::visit(Overloaded{
                   [&](const TransactionCommitted &) { m_pending->checking ? moveToOpenWindow() : m_pending.reset(); },
                   [&](const TransactionConflict &conflict) { m_pending->checking ? onCheckConflict(conflict) : onConflict(conflict); },
                   [&](const TransactionUnknown &) {
                       m_pending->ambiguous = true;
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
    return m_open.empty() && m_backlog.empty() && !m_pending;
}

std::uint64_t UsageMeter::droppedSections() const noexcept
{
    return m_dropped;
}

std::size_t UsageMeter::bufferedBytes() const noexcept
{
    return std::accumulate(
        m_backlog.begin(), m_backlog.end(), std::size_t{0}, [](std::size_t sum, const Unsent &it) { return sum + it.section.packed.size(); });
}

std::optional<UsageWindow> UsageMeter::windowAt(SteadyTime now) const noexcept
{
    if (!m_offset) {
        return std::nullopt;
    }
    return usageWindowAt(WallTime{*m_offset + std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch())});
}

void UsageMeter::roll(SteadyTime now)
{
    const auto current = windowAt(now);
    if (!current || (m_openWindow && *current <= *m_openWindow)) {
        return;
    }
    if (m_openWindow) {
        closeOpen();
    }
    m_openWindow = current;
    dropOld(*current);
}

void UsageMeter::closeOpen()
{
    if (!m_open.empty()) {
        m_backlog.push_back({{*m_openWindow, m_codec.pack(std::exchange(m_open, {}))}, false});
    }
}

void UsageMeter::dropOld(UsageWindow current)
{
    const auto oldest = current - std::chrono::seconds(m_settings.keepFor).count();
    const auto dropped = std::erase_if(m_backlog, [&](const Unsent &it) { return it.section.window < oldest; });
    m_dropped += dropped;
    if (m_pending && !m_outstanding && m_pending->unsent.section.window < oldest) {
        m_pending.reset();
        ++m_dropped;
    }
}

void UsageMeter::prepare(UsageWindow current)
{
    if (m_pending || m_backlog.empty()) {
        return;
    }
    Pending pending;
    pending.unsent = std::move(m_backlog.front());
    pending.rowWindow = pending.unsent.late ? current : pending.unsent.section.window;
    m_pending = std::move(pending);
    m_backlog.pop_front();
    number();
}

void UsageMeter::number()
{
    m_pending->number = ++m_lastNumber;
    const auto prefix = usageWindowName(m_pending->rowWindow) + "/" + m_settings.self.host + "/" + std::to_string(m_settings.self.incarnation);
    m_pending->key = {"usage", prefix + "/" + internal::rowNumberName(m_pending->number)};
    m_pending->doneKey = {"usage-done", prefix};
}

TransactAction UsageMeter::transaction()
{
    const auto id = m_settings.self.host + "/" + std::to_string(m_settings.self.incarnation) + "/usage/" + std::to_string(++m_lastId);
    const auto &pending = *m_pending;
    if (pending.checking) {
        return {{id, {{pending.key, 0}, {pending.doneKey, 0}}, {{pending.key, m_codec.row.encode({})}}}};
    }
    return {{id, {{pending.key, 0}, {sealKey(pending.rowWindow), 0}}, {{pending.key, m_codec.row.encode({{pending.unsent.section}})}}}};
}

void UsageMeter::onConflict(const TransactionConflict &conflict)
{
    const bool closed = conflict.conditionIndex == 1;
    if (!closed && m_pending->ambiguous) {
        m_pending.reset();
    } else if (!closed) {
        // Another process used the same incarnation.
        number();
    } else if (m_pending->ambiguous) {
        m_pending->checking = true;
    } else {
        moveToOpenWindow();
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
        moveToOpenWindow();
    }
}

void UsageMeter::moveToOpenWindow()
{
    m_backlog.push_front({std::move(m_pending->unsent.section), true});
    m_pending.reset();
}

} // namespace guavafield
