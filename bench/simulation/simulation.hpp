// Runs a scenario of a workload on a manual clock against simulated engines.
#pragma once

#include <bench/simulation/policy.hpp>
#include <bench/simulation/run_metrics.hpp>

namespace guavafield::bench {

/*!
 * @brief Runs a scenario in all data centres.
 * @param seed Two runs with the same seed give the same figures; arrivals do not depend on the policy.
 */
[[nodiscard]] RunMetrics runScenario(const Workload &workload, const Scenario &scenario, PolicyKind policy, std::uint64_t seed);

} // namespace guavafield::bench
