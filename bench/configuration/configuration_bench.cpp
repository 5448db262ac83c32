// Benchmarks memory use, application and validation of changes, and JSON conversion of a configuration at the design target of
// 5,000 teams and 14 models.
#include <guavafield/coordination/configuration/configuration_change.hpp>
#include <guavafield/coordination/configuration/configuration_follower.hpp>
#include <guavafield/protocol/configuration/configuration_json.hpp>

#include <test/support/configuration_samples.hpp>

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace guavafield {

namespace {

constexpr std::size_t teams = 5'000;
constexpr std::size_t models = 14;

const Configuration &fullSize()
{
    static const auto configuration = test::sampleConfiguration(teams, models);
    return configuration;
}

void applyOneTeam(benchmark::State &state)
{
    const auto change = test::teamChange("team-42", 2);
    for (auto _ : state) {
        benchmark::DoNotOptimize(applyChange(fullSize(), change));
    }
}
BENCHMARK(applyOneTeam)->Unit(benchmark::kMillisecond);

void validateOneTeam(benchmark::State &state)
{
    const auto change = test::teamChange("team-42", 2);
    for (auto _ : state) {
        benchmark::DoNotOptimize(validateChange(fullSize(), change));
    }
}
BENCHMARK(validateOneTeam)->Unit(benchmark::kMicrosecond);

/*! @brief Measures a change from its receipt by the follower to its publication. */
void followOneChange(benchmark::State &state)
{
    SteadyTime now{std::chrono::seconds(1)};
    ConfigurationFollower follower(FollowerSettings{.host = "h"}, now);
    follower.onPeerSnapshot(0, fullSize(), now);
    for (auto _ : state) {
        ChangeRecord record{follower.snapshot()->revision + 1, "id", schemaVersion, {}, test::teamChange("team-42", 2)};
        follower.onCommitted(std::move(record), now);
        benchmark::DoNotOptimize(follower.step(now));
    }
}
BENCHMARK(followOneChange)->Unit(benchmark::kMillisecond);

void earlyWithdrawal(benchmark::State &state)
{
    const SteadyTime now{std::chrono::seconds(1)};
    std::size_t n = 0;
    ConfigurationFollower follower(FollowerSettings{.host = "h"}, now);
    follower.onPeerSnapshot(0, fullSize(), now);
    for (auto _ : state) {
        follower.onWithdrawal("team-" + std::to_string(n++ % teams) + "-a", now);
        benchmark::DoNotOptimize(follower.step(now));
    }
}
BENCHMARK(earlyWithdrawal)->Unit(benchmark::kMillisecond)->Iterations(50);

void formatWhole(benchmark::State &state)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = formatSnapshot(fullSize()).size();
    }
    state.counters["snapshot_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(formatWhole)->Unit(benchmark::kMillisecond);

void parseWhole(benchmark::State &state)
{
    const auto text = formatSnapshot(fullSize());
    for (auto _ : state) {
        benchmark::DoNotOptimize(parseSnapshot(text));
    }
}
BENCHMARK(parseWhole)->Unit(benchmark::kMillisecond);

/*! @brief Measures the heap bytes of one copy as reported by the allocator. */
void memoryOfOneCopy(benchmark::State &state)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        auto copy = fullSize();
        bytes = mallinfo2().uordblks - before;
        benchmark::DoNotOptimize(copy);
    }
    state.counters["heap_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(memoryOfOneCopy)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace guavafield

BENCHMARK_MAIN();
