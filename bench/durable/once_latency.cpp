// Event simulation of the at-most-once ledger in steps of 0.1 ms.
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
constexpr auto upstreamTime = Milliseconds{50};
constexpr auto stepTime = std::chrono::microseconds{100};
constexpr int simulatedSeconds = 60;

} // namespace

OnceCost measureOnceCost(int callsPerSecond, Milliseconds window)
{
    OnceSettings settings;
    settings.host = "host";
    settings.batchWindow = window;
    OnceCallTracker ledger(settings, onceCodec());
    test::MemoryTable table;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> gap(callsPerSecond);
    SteadyTime now{std::chrono::hours{1}};
    const auto end = now + std::chrono::seconds{simulatedSeconds};
    auto nextArrival = now;
    std::map<OnceCallId, SteadyTime> started;
    std::multimap<SteadyTime, OnceTransactAction> onTheWay;
    std::multimap<SteadyTime, OnceCallId> running;
    std::vector<double> added;
    std::uint64_t calls = 0;
    for (; now < end; now += stepTime) {
        for (; nextArrival <= now; nextArrival += std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(gap(random)))) {
            started.emplace(ledger.begin({"team", std::to_string(++calls), {}}, now), now);
        }
        for (; !onTheWay.empty() && onTheWay.begin()->first <= now; onTheWay.erase(onTheWay.begin())) {
            const auto &transact = onTheWay.begin()->second;
            ledger.onTransaction(transact.id, table.transact(transact.transaction), now);
        }
        for (; !running.empty() && running.begin()->first <= now; running.erase(running.begin())) {
            ledger.onAnswered(running.begin()->second, {200, {}, "booked"}, now);
        }
        for (const auto &action : ledger.step(now)) {
            if (const auto *transact = std::get_if<OnceTransactAction>(&action)) {
                onTheWay.emplace(now + roundTrip, *transact);
            } else if (const auto *run = std::get_if<OnceSendAction>(&action)) {
                added.push_back(std::chrono::duration<double, std::milli>(now - started.at(run->call) - roundTrip).count());
                running.emplace(now + upstreamTime, run->call);
            }
        }
    }
    std::ranges::sort(added);
    const auto count = static_cast<double>(added.size());
    const auto &counts = table.counts();
    const auto transactions = static_cast<double>(counts.transactions);
    return {callsPerSecond,
            window,
            std::accumulate(added.begin(), added.end(), 0.0) / count,
            added[added.size() * 95 / 100],
            static_cast<double>(counts.rowWrites) / transactions,
            transactions / count};
}

void printOnceCost(std::ostream &out, const OnceCost &cost)
{
    out << "once," << cost.callsPerSecond << "," << cost.window.count() << "," << cost.addedMsMean << "," << cost.addedMsP95 << "," << cost.rowsPerTransaction
        << "," << cost.transactionsPerCall << "\n";
}

} // namespace guavafield::bench
