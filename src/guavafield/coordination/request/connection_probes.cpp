// Intervals between the probes of an upstream.
#include <guavafield/coordination/request/connection_probes.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr Milliseconds firstProbeInterval{250};
constexpr Milliseconds maxProbeInterval{2'000};
// Bounds the connections that a host opens at the same time when it reaches nobody.
constexpr std::size_t maxProbesAtOnce = 8;

} // namespace internal

void ConnectionProbes::schedule(std::uint64_t upstream, SteadyTime at)
{
    const auto [it, added] = m_schedules.try_emplace(upstream, Schedule{at, internal::firstProbeInterval, false});
    if (!added) {
        it->second.next = std::min(it->second.next, at);
    }
}

std::vector<std::uint64_t> ConnectionProbes::takeDue(SteadyTime now)
{
    std::vector<std::uint64_t> due;
    for (auto &[upstream, schedule] : m_schedules) {
        if (!schedule.underWay && schedule.next <= now && due.size() < internal::maxProbesAtOnce) {
            schedule.underWay = true;
            due.push_back(upstream);
        }
    }
    return due;
}

void ConnectionProbes::onFailed(std::uint64_t upstream, SteadyTime now)
{
    const auto it = m_schedules.find(upstream);
    if (it == m_schedules.end()) {
        return;
    }
    auto &schedule = it->second;
    schedule.underWay = false;
    // Hosts that failed together don't come back together.
    const double jitter = 0.75 + 0.5 * m_random.uniform();
    schedule.next = addSeconds(now, Seconds(schedule.interval).count() * jitter);
    schedule.interval = std::min(schedule.interval * 2, internal::maxProbeInterval);
}

void ConnectionProbes::onConnected(std::uint64_t upstream, SteadyTime now)
{
    m_schedules.erase(upstream);
    for (auto &[other, schedule] : m_schedules) {
        schedule.next = std::min(schedule.next, now);
        schedule.interval = internal::firstProbeInterval;
    }
}

void ConnectionProbes::erase(std::uint64_t upstream)
{
    m_schedules.erase(upstream);
}

} // namespace guavafield
