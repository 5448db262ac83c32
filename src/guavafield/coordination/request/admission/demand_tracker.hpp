// Service rates of teams: those of this host for gossip, and those reported by peers.
#pragma once

#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/request_info.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Recent service rate per team, in cost-weighted tokens per second. */
class DemandTracker
{
public:
    void onService(const TeamId &team, double cost, SteadyTime now);

    /*! @brief Returns the teams with the highest recent service rate in descending order. */
    [[nodiscard]] std::vector<TeamDemand> busiest(std::size_t limit, SteadyTime now) const;

    /*!
     * @brief Converts a peer's reported rates to the service it gave since its previous report.
     * @return Cost per team, discounted by the age of the report.
     */
    [[nodiscard]] std::vector<TeamDemand> convertPeerRates(std::string_view host, std::span<const TeamDemand> demand, Milliseconds age, SteadyTime now);

private:
    StringMap<DecayingSum> m_served;
    StringMap<SteadyTime> m_lastReported;
};

} // namespace guavafield
