// Tracks the service rate of teams on this host and converts the rates that peers report.
#include <guavafield/coordination/request/admission/demand_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace internal {

constexpr double serviceTimeConstantSeconds = 3;
constexpr double demandHalfLifeSeconds = 10;
// A reported rate is applied to at most this time since the previous report; it is not representative of longer gaps.
constexpr double maxGapSeconds = 3;
constexpr double minRate = 0.01;

} // namespace internal

void DemandTracker::onService(const TeamId &team, double cost, SteadyTime now)
{
    m_served.try_emplace(team, internal::serviceTimeConstantSeconds).first->second.add(cost, now);
}

std::vector<TeamDemand> DemandTracker::busiest(std::size_t limit, SteadyTime now) const
{
    std::vector<TeamDemand> demand;
    for (const auto &[team, served] : m_served) {
        if (const double rate = served.rateAt(now); rate > internal::minRate) {
            demand.push_back({team, rate});
        }
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(limit, demand.size()));
    std::ranges::partial_sort(demand, demand.begin() + count, std::ranges::greater{}, &TeamDemand::tokensPerSecond);
    demand.resize(static_cast<std::size_t>(count));
    return demand;
}

std::vector<TeamDemand> DemandTracker::convertPeerRates(std::string_view host, std::span<const TeamDemand> demand, Milliseconds age, SteadyTime now)
{
    const auto last = m_lastReported.try_emplace(std::string(host), now).first;
    const double gap = std::min(secondsBetween(last->second, now), internal::maxGapSeconds);
    last->second = now;
    const double discount = std::exp2(-std::chrono::duration<double>(age).count() / internal::demandHalfLifeSeconds);
    std::vector<TeamDemand> service;
    for (const auto &it : demand) {
        service.push_back({it.team, it.tokensPerSecond * gap * discount});
    }
    return service;
}

} // namespace guavafield
