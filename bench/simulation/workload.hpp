// Data model of a workload file: engines, teams, request classes and scenarios.
#pragma once

#include <guavafield/state/configuration.hpp>
#include <guavafield/state/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavafield::bench {

/*! @brief A group of identical engines in a data centre. */
struct EngineKind
{
    UpstreamKind kind{UpstreamKind::Durable};
    std::uint32_t count{0};
    // Number of zones, at least 1; engines are assigned to them round-robin.
    std::uint32_t zones{1};
    std::uint32_t slots{8};
    // Output rate of a request in a batch of one.
    double tokensPerSecond{60};
    // A batch of n gives each request 1 / (1 + penalty * (n - 1)) of that rate.
    double batchPenalty{0.05};
    double prefillTokensPerSecond{8000};
    // Capacity of the prefix cache in blocks.
    std::uint32_t cacheBlocks{400};
    double costPerHour{1};
};

/*! @brief A request class with its latency targets and size distributions. */
struct RequestKind
{
    std::string name;
    Tier tier{0};
    Milliseconds firstTokenTarget{};
    Milliseconds totalTarget{};
    double promptMedian{500};
    double promptSigma{0.4};
    double outputMedian{100};
    double outputSigma{0.8};
    std::uint32_t maxOutput{1024};
    // Number of distinct shared prompt prefixes of each team.
    std::uint32_t prefixes{20};
    bool resumable{true};
    // Value of an answer within its targets.
    double value{1};
};

/*! @brief A team with its contracted share and its offered load. */
struct TeamLoad
{
    std::string name;
    double share{1};
    // Relative rate of requests.
    double demand{1};
    struct Part
    {
        // Index into Workload::kinds.
        std::size_t kind{0};
        double weight{1};
    };
    std::vector<Part> parts;
};

/*! @brief Load and faults of a run. Times are relative to the start of the run. */
struct Scenario
{
    std::string name;
    Milliseconds duration{60'000};
    // Offered work as a fraction of the capacity outside and inside the burst.
    double load{0.6};
    double burstLoad{0.6};
    Milliseconds burstFrom{15'000};
    Milliseconds burstTo{45'000};
    // Only this class is affected by the burst; empty for all classes.
    std::string burstKind;
    // Team whose demand is multiplied by hugeFactor during the whole run; empty for none.
    std::string hugeTeam;
    double hugeFactor{1};
    Milliseconds reportLag{200};
    // Zone of cheap engines that the platform reclaims after a notice; empty for none.
    std::string reclaimZone;
    Milliseconds reclaimAt{20'000};
    Milliseconds reclaimNotice{5'000};
    Milliseconds reclaimBack{45'000};
    // Index of the engine that slows down; negative for none.
    int slowEngine{-1};
    double slowFactor{4};
    Milliseconds slowFrom{15'000};
    Milliseconds slowTo{45'000};
    // Team that sends a request which crashes engines, and resubmits it after each refusal; empty for none.
    std::string crashTeam;
    Milliseconds crashAt{15'000};
    std::uint32_t crashRepeats{10};
};

/*! @brief The contents of a workload file. */
struct Workload
{
    std::string name;
    std::vector<std::string> dataCentres;
    std::uint32_t hosts{3};
    // Callers abandon a request after this multiple of its total target.
    double patience{1.5};
    std::vector<EngineKind> engines;
    std::vector<RequestKind> kinds;
    std::vector<TeamLoad> teams;
    std::vector<Scenario> scenarios;
};

/*!
 * @brief Reads a workload file.
 * @param path An INI file as described in docs/reference/experiments.md.
 */
[[nodiscard]] Result<Workload> loadWorkload(const std::string &path);

/*! @brief Creates the configuration of one data centre: the teams with their contracts, the model and the engines. */
[[nodiscard]] Configuration makeConfiguration(const Workload &workload, const std::string &dataCentre);

/*! @brief Name of the model that all engines of a workload serve. */
inline constexpr const char *workloadModel = "chat";

} // namespace guavafield::bench
