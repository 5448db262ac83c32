// Service of this host's teams for gossip, and service that peers gave.
#pragma once

#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/request_info.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Recent service by team, in cost-weighted tokens a second. */
class DemandTracker
{
public:
    void onService(const TeamId &team, double cost, SteadyTime now);

    /*! @brief Returns the teams with the most recent service, most first. */
    [[nodiscard]] std::vector<TeamDemand> busiest(std::size_t limit, SteadyTime now) const;

    /*!
     * @brief Converts a peer's rates to service since its last figures.
     * @return Cost by team, discounted by age.
     */
    [[nodiscard]] std::vector<TeamDemand> convertPeerRates(std::string_view host, std::span<const TeamDemand> demand, Milliseconds age, SteadyTime now);

private:
    StringMap<DecayingSum> m_served;
    StringMap<SteadyTime> m_lastReported;
};

} // namespace guavafield
