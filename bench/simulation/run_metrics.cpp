// Computes the metrics of a run.
#include <bench/simulation/run_metrics.hpp>

#include <algorithm>

namespace guavafield::bench {

namespace internal {

constexpr std::int64_t shareWindowMs = 10'000;

double ratio(double part, double whole) noexcept
{
    return whole > 0 ? part / whole : 1.0;
}

/*! @brief Computes the weighted max-min fair allocation of a total: none exceeds its demand, and what remains is divided among the others. */
std::vector<double> weightedMaxMinAllocation(double total, const std::vector<double> &demands, const std::vector<double> &shares)
{
    std::vector<double> allocation(demands.size(), 0);
    std::vector<bool> satisfied(demands.size(), false);
    for (std::size_t round = 0; round < demands.size(); ++round) {
        double weight = 0;
        double remaining = total;
        for (std::size_t n = 0; n < demands.size(); ++n) {
            satisfied[n] = satisfied[n] || demands[n] <= 0;
            weight += satisfied[n] ? 0 : shares[n];
            remaining -= satisfied[n] ? allocation[n] : 0;
        }
        bool changed = false;
        for (std::size_t n = 0; n < demands.size() && weight > 0; ++n) {
            if (satisfied[n]) {
                continue;
            }
            allocation[n] = std::min(demands[n], remaining * shares[n] / weight);
            if (allocation[n] >= demands[n]) {
                satisfied[n] = changed = true;
            }
        }
        if (!changed) {
            break;
        }
    }
    return allocation;
}

} // namespace internal

double ClassMetrics::attainmentOfAdmitted() const noexcept
{
    return internal::ratio(static_cast<double>(metTargets), static_cast<double>(admitted));
}

double ClassMetrics::attainmentOfDue() const noexcept
{
    return internal::ratio(static_cast<double>(metTargets), static_cast<double>(admitted + avoidableRefusals));
}

double ClassMetrics::attainmentOfOffered() const noexcept
{
    return internal::ratio(static_cast<double>(metTargets), static_cast<double>(offered));
}

double RunMetrics::goodput() const noexcept
{
    return seconds > 0 ? goodTokens / seconds : 0;
}

double RunMetrics::wastedFraction() const noexcept
{
    return computedTokens > 0 ? wastedTokens / computedTokens : 0;
}

double RunMetrics::costPerValue() const noexcept
{
    return value > 0 ? cost / value : 0;
}

double RunMetrics::cheapFraction() const noexcept
{
    return outputTokens > 0 ? cheapTokens / outputTokens : 0;
}

double RunMetrics::tierAttainment(const Workload &workload, Tier tier) const
{
    double lowest = 1;
    for (const auto &kind : workload.kinds) {
        const auto it = classes.find(kind.name);
        if (kind.tier == tier && it != classes.end()) {
            lowest = std::min(lowest, it->second.attainmentOfDue());
        }
    }
    return lowest;
}

void FairShareAccounting::addToCohort(const Cohort &cohort, std::size_t team, double offered, double served)
{
    auto &amounts = m_cohorts[cohort];
    amounts.resize(m_workload.teams.size());
    amounts[team].offered += offered;
    amounts[team].served += served;
}

void FairShareAccounting::add(const std::string &dataCentre, Milliseconds arrival, std::size_t team, Tier tier, double offered, double served)
{
    const auto window = arrival.count() / internal::shareWindowMs;
    addToCohort({dataCentre, window, tier}, team, offered, served);
    addToCohort({dataCentre, window, tierCount}, team, offered, served);
}

void FairShareAccounting::finish(RunMetrics &metrics) const
{
    const auto teams = m_workload.teams.size();
    std::vector<double> shares;
    for (const auto &it : m_workload.teams) {
        shares.push_back(it.share);
    }
    std::vector<ServiceAmount> inTier(teams);
    std::vector<ServiceAmount> anyTier(teams);
    for (const auto &[cohort, amounts] : m_cohorts) {
        std::vector<double> demands;
        double total = 0;
        for (const auto &it : amounts) {
            demands.push_back(it.offered);
            total += it.served;
        }
        const auto fairShares = internal::weightedMaxMinAllocation(total, demands, shares);
        auto &sums = std::get<Tier>(cohort) == tierCount ? anyTier : inTier;
        for (std::size_t n = 0; n < teams; ++n) {
            sums[n].offered += fairShares[n];
            sums[n].served += amounts[n].served;
        }
    }
    for (std::size_t n = 0; n < teams; ++n) {
        const auto fraction = internal::ratio(inTier[n].served, inTier[n].offered);
        if (fraction < metrics.worstTeamFraction || metrics.worstTeam.empty()) {
            metrics.worstTeamFraction = fraction;
            metrics.worstTeam = m_workload.teams[n].name;
        }
        const auto fractionAnyTier = internal::ratio(anyTier[n].served, anyTier[n].offered);
        if (fractionAnyTier < metrics.worstTeamFractionAnyTier || metrics.worstTeamAnyTier.empty()) {
            metrics.worstTeamFractionAnyTier = fractionAnyTier;
            metrics.worstTeamAnyTier = m_workload.teams[n].name;
        }
    }
}

} // namespace guavafield::bench
