// Simulates the at-most-once call tracker in time steps of 0.1 ms.
#include "bench/durable/once_latency.hpp"

#include "test/support/memory_table.hpp"

#include <guavafield/coordination/once/once_call_tracker.hpp>
#include <guavafield/protocol/records/once_codec.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <vector>

namespace guavafield::bench {

namespace {

constexpr auto roundTrip = Milliseconds{3};
constexpr auto upstreamDuration = Milliseconds{50};
constexpr auto timeStep = std::chrono::microseconds{100};
constexpr int simulatedSeconds = 60;

} // namespace

OnceCost measureOnceCost(int callsPerSecond, Milliseconds window)
{
    OnceSettings settings;
    settings.host = "host";
    settings.batchWindow = window;
    OnceCallTracker tracker(settings, onceCodec());
    test::MemoryTable table;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> interarrivalTime(callsPerSecond);
    SteadyTime now{std::chrono::hours{1}};
    const auto end = now + std::chrono::seconds{simulatedSeconds};
    auto nextArrival = now;
    std::map<OnceCallId, SteadyTime> arrivalTimes;
    std::multimap<SteadyTime, OnceTransactAction> inFlightTransactions;
    std::multimap<SteadyTime, OnceCallId> runningCalls;
    std::vector<double> addedMs;
    std::uint64_t calls = 0;
    for (; now < end; now += timeStep) {
        for (; nextArrival <= now; nextArrival += std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(interarrivalTime(random)))) {
            arrivalTimes.emplace(tracker.begin({"team", std::to_string(++calls), {}}, now), now);
        }
        for (; !inFlightTransactions.empty() && inFlightTransactions.begin()->first <= now; inFlightTransactions.erase(inFlightTransactions.begin())) {
            const auto &transact = inFlightTransactions.begin()->second;
            tracker.onTransaction(transact.id, table.transact(transact.transaction), now);
        }
        for (; !runningCalls.empty() && runningCalls.begin()->first <= now; runningCalls.erase(runningCalls.begin())) {
            tracker.onAnswered(runningCalls.begin()->second, {200, {}, "booked"}, now);
        }
        for (const auto &action : tracker.step(now)) {
            if (const auto *transact = std::get_if<OnceTransactAction>(&action)) {
                inFlightTransactions.emplace(now + roundTrip, *transact);
            } else if (const auto *run = std::get_if<OnceSendAction>(&action)) {
                addedMs.push_back(std::chrono::duration<double, std::milli>(now - arrivalTimes.at(run->call) - roundTrip).count());
                runningCalls.emplace(now + upstreamDuration, run->call);
            }
        }
    }
    std::ranges::sort(addedMs);
    const auto count = static_cast<double>(addedMs.size());
    const auto &counts = table.counts();
    const auto transactions = static_cast<double>(counts.transactions);
    return {callsPerSecond,
            window,
            std::accumulate(addedMs.begin(), addedMs.end(), 0.0) / count,
            addedMs[addedMs.size() * 95 / 100],
            static_cast<double>(counts.rowWrites) / transactions,
            transactions / count};
}

void printOnceCost(std::ostream &out, const OnceCost &cost)
{
    out << "once," << cost.callsPerSecond << "," << cost.window.count() << "," << cost.addedMsMean << "," << cost.addedMsP95 << "," << cost.rowsPerTransaction
        << "," << cost.transactionsPerCall << "\n";
}

} // namespace guavafield::bench
