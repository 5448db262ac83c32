// Simulates the data centres of a scenario one after the other. They are independent of each other.
#include <bench/simulation/data_centre_simulation.hpp>
#include <bench/simulation/simulation.hpp>

namespace guavafield::bench {

RunMetrics runScenario(const Workload &workload, const Scenario &scenario, PolicyKind policy, std::uint64_t seed)
{
    RunMetrics metrics;
    FairShareAccounting shares(workload);
    Random seeds(seed);
    for (const auto &dataCentre : workload.dataCentres) {
        DataCentreSimulation(workload, scenario, policy, dataCentre, seeds.next()).run(metrics, shares);
    }
    metrics.seconds = std::chrono::duration<double>(scenario.duration).count();
    shares.finish(metrics);
    return metrics;
}

} // namespace guavafield::bench
