// The figures of a run.
#pragma once

#include <bench/simulation/workload.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace guavafield::bench {

/*! @brief Counts of one request class. */
struct ClassMetrics
{
    std::uint64_t offered{0};
    std::uint64_t admitted{0};
    // Refused although the work offered in its tier and above fitted the capacity outside the floors.
    std::uint64_t avoidableRefusals{0};
    // Answered with first token and end within the targets.
    std::uint64_t metTargets{0};
    std::uint64_t late{0};
    // Those of the late answers whose first token was late.
    std::uint64_t lateFirstToken{0};
    std::uint64_t shed{0};
    std::uint64_t failed{0};
    std::uint64_t abandoned{0};

    [[nodiscard]] double attainmentOfAdmitted() const noexcept;
    /*! @brief Within target over admitted plus refused without need. */
    [[nodiscard]] double attainmentOfDue() const noexcept;
    [[nodiscard]] double attainmentOfOffered() const noexcept;
};

/*! @brief Figures of one run of one policy. */
struct RunMetrics
{
    std::map<std::string, ClassMetrics> classes;
    // Refused requests by result code.
    std::map<unsigned, std::uint64_t> refusals;
    double seconds{0};
    // Output tokens of answers within target.
    double goodTokens{0};
    double lateTokens{0};
    // Prompt and output tokens that engines computed.
    double computedTokens{0};
    // Those of them that are in no complete answer or were computed again.
    double wastedTokens{0};
    // Worth of the answers within target.
    double value{0};
    // Cost of the upstreams for the whole run.
    double cost{0};
    double cheapTokens{0};
    double outputTokens{0};
    std::string worstTeam;
    double worstTeamFraction{1};
    // The same with the service of all tiers shared by weight alone.
    std::string worstTeamAnyTier;
    double worstTeamFractionAnyTier{1};
    std::uint64_t preemptions{0};
    std::uint64_t hedges{0};
    std::uint64_t retries{0};
    std::uint64_t engineCrashes{0};
    // Refusals as crash suspect of requests that crash nothing.
    std::uint64_t falseSuspectRefusals{0};

    [[nodiscard]] double goodput() const noexcept;
    [[nodiscard]] double wastedFraction() const noexcept;
    [[nodiscard]] double costPerValue() const noexcept;
    [[nodiscard]] double cheapFraction() const noexcept;
    /*! @brief Attainment of the lowest class of a tier, over due requests; 1 if the tier was not offered. */
    [[nodiscard]] double tierAttainment(const Workload &workload, Tier tier) const;
};

/*! @brief Adds up service by team, tier and time of arrival and compares it with the contracted shares. */
class FairShareAccounting
{
public:
    explicit FairShareAccounting(const Workload &workload) : m_workload(workload) { }

    /*! @brief Counts an offered request and what of it was served within target, in cost-weighted tokens. */
    void add(const std::string &dataCentre, Milliseconds arrival, std::size_t team, Tier tier, double offered, double served);
    /*! @brief Fills the worst-served team of the measures. */
    void finish(RunMetrics &metrics) const;

private:
    struct ServiceAmount
    {
        double offered{0};
        double served{0};
    };
    // Data centre, window of arrival, and tier, where tierCount stands for all tiers together.
    using Cohort = std::tuple<std::string, std::int64_t, Tier>;

    void addToCohort(const Cohort &cohort, std::size_t team, double offered, double served);

    const Workload &m_workload;
    std::map<Cohort, std::vector<ServiceAmount>> m_cohorts;
};

} // namespace guavafield::bench
