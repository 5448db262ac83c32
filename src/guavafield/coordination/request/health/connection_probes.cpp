// Intervals between the probes of an upstream.
#include <guavafield/coordination/request/health/connection_probes.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

constexpr Milliseconds firstProbeInterval{250};
constexpr Milliseconds maxProbeInterval{2'000};
// Bounds the connections under way when a host reaches nobody.
constexpr std::size_t maxProbesAtOnce = 8;

} // namespace internal

void ConnectionProbes::schedule(std::uint64_t upstream, SteadyTime at)
{
    const auto [it, added] = m_schedules.try_emplace(upstream, Schedule{at, internal::firstProbeInterval, false, false});
    if (!added) {
        it->second.next = std::min(it->second.next, at);
    }
}

std::vector<std::uint64_t> ConnectionProbes::takeDue(SteadyTime now)
{
    std::size_t underWay = 0;
    std::vector<std::pair<SteadyTime, std::uint64_t>> waiting;
    for (const auto &[upstream, schedule] : m_schedules) {
        underWay += schedule.underWay ? 1 : 0;
        if (!schedule.underWay && schedule.next <= now) {
            waiting.emplace_back(schedule.next, upstream);
        }
    }
    // Those that have waited longest go first, so that each has its turn.
    std::ranges::sort(waiting);
    std::vector<std::uint64_t> due;
    for (const auto &[next, upstream] : waiting) {
        if (underWay + due.size() >= internal::maxProbesAtOnce) {
            break;
        }
        m_schedules[upstream].underWay = true;
        due.push_back(upstream);
    }
    return due;
}

void ConnectionProbes::onFailed(std::uint64_t upstream, SteadyTime now)
{
    auto &schedule = m_schedules.try_emplace(upstream, Schedule{now, internal::firstProbeInterval, false, false}).first->second;
    schedule.underWay = false;
    schedule.failed = true;
    // Hosts that failed together don't come back together.
    const double jitter = 0.75 + 0.5 * m_random.uniform();
    schedule.next = addSeconds(now, Seconds(schedule.interval).count() * jitter);
    schedule.interval = std::min(schedule.interval * 2, internal::maxProbeInterval);
}

void ConnectionProbes::onConnected(std::uint64_t upstream, SteadyTime now)
{
    const auto it = m_schedules.find(upstream);
    const bool back = it != m_schedules.end() && it->second.failed;
    m_schedules.erase(upstream);
    if (!back) {
        return;
    }
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
