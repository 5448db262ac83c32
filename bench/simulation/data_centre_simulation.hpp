// Simulation of one data centre in a scenario: hosts with their schedulers, engines, callers and scheduled events.
#pragma once

#include <bench/simulation/arrivals.hpp>
#include <bench/simulation/engine.hpp>
#include <bench/simulation/policy.hpp>
#include <bench/simulation/random.hpp>
#include <bench/simulation/run_metrics.hpp>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace guavafield::bench {

/*! @brief Simulates a data centre in time steps of fixed length. */
class DataCentreSimulation
{
public:
    DataCentreSimulation(const Workload &workload, const Scenario &scenario, PolicyKind policy, std::string dataCentre, std::uint64_t seed);

    /*! @brief Runs the simulation to its end and adds the results to the metrics. */
    void run(RunMetrics &metrics, FairShareAccounting &shares);

private:
    enum class State : std::uint8_t { Waiting, Running, Done, Late, Refused, Shed, Failed, Abandoned };

    struct Call
    {
        Arrival arrival;
        State state{State::Waiting};
        std::string id;
        Milliseconds firstToken{-1};
        Milliseconds end{-1};
        std::uint32_t delivered{0};
        // Engines with an attempt of this call; two while the call is hedged.
        std::vector<std::size_t> engines;
        double computedPrompt{0};
        double computedOutput{0};
        // Prompt tokens computed up to the first output token, excluding cache hits; negative before that token.
        double computedPromptAtFirstToken{-1};
        double cheapOutput{0};
        bool admitted{false};
        bool avoidablyRefused{false};
        std::uint32_t attempts{0};
        std::uint32_t resubmissions{0};
    };

    [[nodiscard]] SteadyTime now() const noexcept
    {
        return SteadyTime{} + std::chrono::hours{1} + m_now;
    }
    [[nodiscard]] const RequestKind &kindOf(const Call &call) const
    {
        return m_workload.kinds[call.arrival.kind];
    }

    void at(Milliseconds time, std::function<void()> action);
    void scheduleEvents();
    void scheduleFaults();
    void scheduleReclaim();
    void scheduleCrashingRequest();
    void submitArrivals();
    void submit(Arrival arrival, std::uint32_t resubmissions);
    [[nodiscard]] RequestInfo makeRequestInfo(const Call &call) const;
    void recordOfferedWork(const Call &call);
    [[nodiscard]] bool fitsUnreservedCapacity(Tier tier);
    void advanceEngines();
    void onEngineEvent(std::size_t engine, const EngineEvent &event);
    void finishCall(Call &call, State state);
    void failEngine(std::size_t engine, bool crashed);
    void failAttempt(Call &call, std::size_t engine, bool connected, bool crashed);
    void recordRefusal(Call &call, State state, const Refused &refusal);
    void scheduleResubmission(const Call &call);
    void abandonTimedOutCalls();
    void stepHosts();
    void perform(std::size_t host, const SchedulerAction &action);
    void startAttempt(Call &call, std::string_view upstream, std::uint8_t priority);
    void cancelAttempt(Call &call, std::size_t engine);
    void sendLoadReports();
    void sendGossip();
    void collectMetrics(RunMetrics &metrics, FairShareAccounting &shares) const;
    [[nodiscard]] std::size_t engineIndex(std::string_view upstream) const;

    const Workload &m_workload;
    const Scenario &m_scenario;
    std::string m_dataCentre;
    Random m_random;
    Configuration m_configuration;
    Milliseconds m_now{0};
    std::vector<Policy> m_hosts;
    std::vector<bool> m_needsStep;
    std::vector<Engine> m_engines;
    std::vector<Arrival> m_arrivals;
    std::size_t m_nextArrival{0};
    std::deque<Call> m_calls;
    std::multimap<Milliseconds, std::function<void()>> m_events;
    // Calls by the time at which their callers abandon them.
    std::multimap<Milliseconds, std::size_t> m_callTimeouts;
    // Work offered within the window as time, tier and slot seconds, and its sum for each tier.
    std::deque<std::tuple<Milliseconds, Tier, double>> m_offeredWork;
    std::array<double, tierCount> m_offeredWorkByTier{};
    std::uint64_t m_preemptions{0};
    std::uint64_t m_hedges{0};
    std::uint64_t m_retries{0};
    std::uint64_t m_engineCrashes{0};
    std::uint64_t m_falseSuspectRefusals{0};
    std::map<unsigned, std::uint64_t> m_refusals;
};

} // namespace guavafield::bench
