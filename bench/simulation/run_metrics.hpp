// Metrics of a simulation run.
#pragma once

#include <bench/simulation/workload.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace guavafield::bench {

/*! @brief Request counts and target attainment of one request class. */
struct ClassMetrics
{
    std::uint64_t offered{0};
    std::uint64_t admitted{0};
    // Refused although the work offered in its tier and the higher tiers fitted into the capacity outside the floors of lower tiers.
    std::uint64_t avoidableRefusals{0};
    // Completed with both the first token and the end within their targets.
    std::uint64_t metTargets{0};
    std::uint64_t late{0};
    // Late answers whose first token already missed its target.
    std::uint64_t lateFirstToken{0};
    std::uint64_t shed{0};
    std::uint64_t failed{0};
    std::uint64_t abandoned{0};

    [[nodiscard]] double attainmentOfAdmitted() const noexcept;
    /*! @brief Answers within targets as a fraction of due requests, which are those admitted and those refused avoidably. */
    [[nodiscard]] double attainmentOfDue() const noexcept;
    [[nodiscard]] double attainmentOfOffered() const noexcept;
};

/*! @brief Metrics of one run of one policy. */
struct RunMetrics
{
    std::map<std::string, ClassMetrics> classes;
    // Refused requests by result code.
    std::map<unsigned, std::uint64_t> refusals;
    double seconds{0};
    // Output tokens of answers within their targets.
    double goodTokens{0};
    double lateTokens{0};
    // Prompt and output tokens computed by the engines.
    double computedTokens{0};
    // Computed tokens that belong to no complete answer or were recomputed.
    double wastedTokens{0};
    // Sum of the values of the answers within their targets.
    double value{0};
    // Cost of all upstreams over the run.
    double cost{0};
    double cheapTokens{0};
    double outputTokens{0};
    std::string worstTeam;
    double worstTeamFraction{1};
    // The same, with the service of all tiers divided together by weight.
    std::string worstTeamAnyTier;
    double worstTeamFractionAnyTier{1};
    std::uint64_t preemptions{0};
    std::uint64_t hedges{0};
    std::uint64_t retries{0};
    std::uint64_t engineCrashes{0};
    // Requests that crash no engine but were refused as crash suspects.
    std::uint64_t falseSuspectRefusals{0};

    [[nodiscard]] double goodput() const noexcept;
    [[nodiscard]] double wastedFraction() const noexcept;
    [[nodiscard]] double costPerValue() const noexcept;
    [[nodiscard]] double cheapFraction() const noexcept;
    /*! @brief Returns the lowest attainment of due requests among the classes of a tier; 1 if no request of the tier was offered. */
    [[nodiscard]] double tierAttainment(const Workload &workload, Tier tier) const;
};

/*! @brief Accumulates the service of each team by tier and time of arrival and compares it with the contracted shares. */
class FairShareAccounting
{
public:
    explicit FairShareAccounting(const Workload &workload) : m_workload(workload) { }

    /*! @brief Adds the offered work of a request and the part served within targets, both in cost-weighted tokens. */
    void add(const std::string &dataCentre, Milliseconds arrival, std::size_t team, Tier tier, double offered, double served);
    /*! @brief Writes the teams with the lowest fraction of their fair share to the metrics. */
    void finish(RunMetrics &metrics) const;

private:
    struct ServiceAmount
    {
        double offered{0};
        double served{0};
    };
    // Data centre, arrival window and tier; tierCount stands for all tiers together.
    using Cohort = std::tuple<std::string, std::int64_t, Tier>;

    void addToCohort(const Cohort &cohort, std::size_t team, double offered, double served);

    const Workload &m_workload;
    std::map<Cohort, std::vector<ServiceAmount>> m_cohorts;
};

} // namespace guavafield::bench
