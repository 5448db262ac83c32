// Entry point of the scheduling simulation: runs a scenario on a manual clock against simulated engines.
#pragma once

#include <bench/simulation/policy.hpp>
#include <bench/simulation/run_metrics.hpp>

namespace guavafield::bench {

/*!
 * @brief Simulates a scenario in all data centres of the workload and returns the combined metrics.
 * @param seed Runs with the same seed give the same metrics. Arrivals do not depend on the policy.
 */
[[nodiscard]] RunMetrics runScenario(const Workload &workload, const Scenario &scenario, PolicyKind policy, std::uint64_t seed);

} // namespace guavafield::bench
