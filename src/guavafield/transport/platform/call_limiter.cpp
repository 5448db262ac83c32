// Token bucket, urgency order and the stagger after an outage.
#include <guavafield/transport/platform/call_limiter.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

using Seconds = std::chrono::duration<double>;

// Failures over a shorter time are single faults; no backlog has built up.
constexpr std::chrono::seconds shortestOutage{5};

// Each host starts the calls of a class at its own point of the class's interval, in seconds after the outage. Configuration and leases
// are few (a poll and at most one lease a host) and others wait for them.
struct Interval
{
    double from;
    double to;
};
constexpr std::array<Interval, static_cast<std::size_t>(CallUrgency::Count)> staggerIntervals{{{0, 0}, {0, 0}, {0, 2}, {2, 15}, {15, 30}}};

} // namespace internal

CallUrgency urgencyOfTable(std::string_view table) noexcept
{
    if (table == "config") {
        return CallUrgency::Configuration;
    }
    if (table == "lease") {
        return CallUrgency::Lease;
    }
    if (table == "once") {
        return CallUrgency::Once;
    }
    return table == "usage" || table == "seal" ? CallUrgency::Usage : CallUrgency::Rest;
}

void CallLimiter::submit(CallId id, CallUrgency urgency)
{
    m_queues[static_cast<std::size_t>(urgency)].push_back(id);
}

void CallLimiter::withdraw(CallId id)
{
    for (auto &it : m_queues) {
        std::erase(it, id);
    }
}

std::optional<CallLimiter::CallId> CallLimiter::start(SteadyTime now)
{
    refill(now);
    if (m_running >= m_limits.concurrentCalls || m_tokens < 1) {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < classes; ++n) {
        if (m_queues[n].empty() || now < m_allowedFrom[n]) {
            continue;
        }
        const auto id = m_queues[n].front();
        m_queues[n].pop_front();
        m_tokens -= 1;
        ++m_running;
        return id;
    }
    return std::nullopt;
}

std::optional<SteadyTime> CallLimiter::nextStart(SteadyTime now) const
{
    if (m_running >= m_limits.concurrentCalls) {
        return std::nullopt;
    }
    std::optional<SteadyTime> next;
    for (std::size_t n = 0; n < classes; ++n) {
        if (!m_queues[n].empty() && (!next || m_allowedFrom[n] < *next)) {
            next = m_allowedFrom[n];
        }
    }
    if (next && m_tokens < 1) {
        const internal::Seconds wait((1 - m_tokens) / m_limits.callsPerSecond);
        next = std::max(*next, m_refilled + std::chrono::ceil<Milliseconds>(wait));
    }
    return next ? std::optional(std::max(*next, now)) : std::nullopt;
}

void CallLimiter::finish(bool served, SteadyTime now)
{
    --m_running;
    if (!served) {
        m_failingSince = m_failingSince.value_or(now);
        return;
    }
    if (m_failingSince && now - *m_failingSince >= internal::shortestOutage) {
        stagger(now);
    }
    m_failingSince.reset();
}

void CallLimiter::refill(SteadyTime now)
{
    if (now <= m_refilled) {
        return;
    }
    const internal::Seconds passed = now - m_refilled;
    m_tokens = std::min(m_limits.burst, m_tokens + passed.count() * m_limits.callsPerSecond);
    m_refilled = now;
}

void CallLimiter::stagger(SteadyTime now)
{
    for (std::size_t n = 0; n < classes; ++n) {
        const auto &interval = internal::staggerIntervals[n];
        const internal::Seconds delay(interval.from + m_limits.phase * (interval.to - interval.from));
        m_allowedFrom[n] = now + std::chrono::duration_cast<SteadyTime::duration>(delay);
    }
}

} // namespace guavafield
