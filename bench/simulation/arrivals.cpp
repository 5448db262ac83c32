// Generates arrivals by thinning a Poisson process for each team and request class.
#include <bench/simulation/arrivals.hpp>
#include <bench/simulation/engine.hpp>
#include <bench/simulation/random.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield::bench {

namespace internal {

// Fraction of a prompt that requests of the same team and class share.
constexpr double sharedPromptFraction = 0.5;
constexpr int meanWorkSamples = 4000;

struct Sizes
{
    std::uint32_t prompt{0};
    std::uint32_t output{0};
};

Sizes sampleSizes(const RequestKind &kind, Random &random)
{
    const auto prompt = std::max(16.0, random.logNormal(kind.promptMedian, kind.promptSigma));
    const auto output = std::clamp(random.logNormal(kind.outputMedian, kind.outputSigma), 2.0, static_cast<double>(kind.maxOutput));
    return {static_cast<std::uint32_t>(prompt), static_cast<std::uint32_t>(output)};
}

/*! @brief A request class of a team with its relative arrival rate. */
struct ArrivalSource
{
    std::size_t team{0};
    std::size_t kind{0};
    double weight{0};
    double meanWork{0};
};

std::vector<ArrivalSource> makeArrivalSources(const Workload &workload, const Scenario &scenario, Random &random)
{
    std::vector<double> meanWork;
    for (const auto &kind : workload.kinds) {
        double sum = 0;
        for (int n = 0; n < meanWorkSamples; ++n) {
            const auto sizes = sampleSizes(kind, random);
            sum += referenceSlotSeconds(workload, sizes.prompt, sizes.output);
        }
        meanWork.push_back(sum / meanWorkSamples);
    }
    std::vector<ArrivalSource> sources;
    for (std::size_t team = 0; team < workload.teams.size(); ++team) {
        const auto &load = workload.teams[team];
        const double factor = load.name == scenario.hugeTeam ? scenario.hugeFactor : 1.0;
        for (const auto &part : load.parts) {
            sources.push_back({team, part.kind, load.demand * part.weight * factor, meanWork[part.kind]});
        }
    }
    return sources;
}

/*! @brief Returns the requests per second and unit of weight at which the load is the given fraction of the capacity. */
double ratePerWeight(const Workload &workload, const Scenario &scenario, const std::vector<ArrivalSource> &sources, double load)
{
    double weightedWork = 0;
    for (const auto &it : sources) {
        // The extra demand of the huge team is added to the stated load, so it is left out here.
        const bool isHugeTeam = workload.teams[it.team].name == scenario.hugeTeam;
        weightedWork += it.weight / (isHugeTeam ? scenario.hugeFactor : 1.0) * it.meanWork;
    }
    return load * totalSlots(workload) / weightedWork;
}

Arrival sampleArrival(const Workload &workload, const ArrivalSource &source, Random &random)
{
    const auto &kind = workload.kinds[source.kind];
    const auto sizes = sampleSizes(kind, random);
    Arrival arrival;
    arrival.team = source.team;
    arrival.kind = source.kind;
    arrival.host = random.below(workload.hosts);
    arrival.promptTokens = sizes.prompt;
    arrival.outputTokens = sizes.output;
    const auto sharedBlocks = static_cast<std::size_t>(sharedPromptFraction * std::min<double>(kind.promptMedian, sizes.prompt) / tokensPerBlock);
    Random hash((source.team << 40U) ^ (source.kind << 32U) ^ random.below(std::max<std::size_t>(1, kind.prefixes)));
    for (std::size_t n = 0; n < sharedBlocks; ++n) {
        arrival.prefixes.push_back(hash.next());
    }
    // The remaining blocks are unique to the request; an engine that runs the request again may still have them cached.
    const auto totalBlocks = static_cast<std::size_t>(sizes.prompt / tokensPerBlock);
    while (arrival.prefixes.size() < totalBlocks) {
        arrival.prefixes.push_back(random.next());
    }
    return arrival;
}

void appendArrivals(const Workload &workload,
                    const Scenario &scenario,
                    const ArrivalSource &source,
                    double baseRate,
                    double burstRate,
                    Random random,
                    std::vector<Arrival> &arrivals)
{
    const bool affectedByBurst = scenario.burstKind.empty() || scenario.burstKind == workload.kinds[source.kind].name;
    const double peak = std::max(baseRate, affectedByBurst ? burstRate : 0.0) * source.weight;
    const double end = static_cast<double>(scenario.duration.count()) / 1000;
    for (double time = random.exponential(1 / peak); time < end; time += random.exponential(1 / peak)) {
        const Milliseconds at{static_cast<std::int64_t>(time * 1000)};
        const bool burst = affectedByBurst && at >= scenario.burstFrom && at < scenario.burstTo;
        // Thinning leaves the arrivals outside the burst the same whatever the burst load is.
        const bool accepted = random.uniform() * peak < (burst ? burstRate : baseRate) * source.weight;
        auto arrival = sampleArrival(workload, source, random);
        arrival.time = at;
        if (accepted) {
            arrivals.push_back(std::move(arrival));
        }
    }
}

} // namespace internal

double totalSlots(const Workload &workload) noexcept
{
    double slots = 0;
    for (const auto &it : workload.engines) {
        slots += static_cast<double>(it.count) * it.slots;
    }
    return slots;
}

double referenceSlotSeconds(const Workload &workload, double promptTokens, double outputTokens) noexcept
{
    return slotSeconds(workload.engines.front(), promptTokens, outputTokens);
}

std::vector<Arrival> generateArrivals(const Workload &workload, const Scenario &scenario, std::uint64_t seed)
{
    Random random(seed);
    const auto sources = internal::makeArrivalSources(workload, scenario, random);
    const double baseRate = internal::ratePerWeight(workload, scenario, sources, scenario.load);
    double burst = internal::ratePerWeight(workload, scenario, sources, scenario.burstLoad);
    if (!scenario.burstKind.empty()) {
        std::vector<internal::ArrivalSource> burstSources;
        std::ranges::copy_if(sources, std::back_inserter(burstSources), [&](const auto &it) { return workload.kinds[it.kind].name == scenario.burstKind; });
        burst = internal::ratePerWeight(workload, scenario, burstSources, scenario.burstLoad);
    }
    std::vector<Arrival> arrivals;
    for (const auto &it : sources) {
        internal::appendArrivals(workload, scenario, it, baseRate, burst, Random(random.next()), arrivals);
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::time);
    return arrivals;
}

} // namespace guavafield::bench
