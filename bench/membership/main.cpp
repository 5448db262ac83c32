// guavafield-membership-bench: measures failure detection, false suspicions, traffic and processing time of the membership protocol.
// Prints CSV.
#include "bench/membership/simulated_network.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <optional>

namespace guavafield::simulation {

namespace {

constexpr Milliseconds settleTime{240'000};
// Size of the IPv4 and UDP headers of each datagram.
constexpr double datagramHeaderBytes = 28;

double milliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return -1;
    }
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1))];
}

struct Row
{
    std::string name;
    double value;
};

/*! @brief Kills hosts one after the other and measures when the first and when all others consider them dead; restarts each and measures the rejoin. */
void measureFailureDetection(Fleet &fleet, std::size_t deaths, std::vector<Row> &rows)
{
    std::vector<double> firstDetected;
    std::vector<double> allDetected;
    std::vector<double> rejoinTimes;
    for (std::size_t n = 0; n < deaths; ++n) {
        const auto target = n * 7 % fleet.size();
        fleet.kill(target);
        const auto start = fleet.now();
        std::optional<SteadyTime> firstDetection;
        const bool detected = fleet.runUntil(
            [&] {
                const auto dead = fleet.countHostsSeeing(target, MemberState::Dead);
                firstDetection = firstDetection || dead == 0 ? firstDetection : fleet.now();
                return dead + 1 == fleet.size();
            },
            Milliseconds{60'000});
        if (detected && firstDetection) {
            firstDetected.push_back(milliseconds(*firstDetection - start));
            allDetected.push_back(milliseconds(fleet.now() - start));
        }
        fleet.start(target);
        const auto restarted = fleet.now();
        if (fleet.runUntil([&] { return fleet.converged(); }, settleTime)) {
            rejoinTimes.push_back(milliseconds(fleet.now() - restarted));
        }
    }
    rows.push_back({"restarts_known_by_all", static_cast<double>(rejoinTimes.size())});
    rows.push_back({"restart_all_ms_p50", quantile(rejoinTimes, 0.5)});
    rows.push_back({"restart_all_ms_p95", quantile(rejoinTimes, 0.95)});
    rows.push_back({"deaths_detected_by_all", static_cast<double>(allDetected.size())});
    rows.push_back({"death_first_ms_p50", quantile(firstDetected, 0.5)});
    rows.push_back({"death_first_ms_p95", quantile(firstDetected, 0.95)});
    rows.push_back({"death_all_ms_p50", quantile(allDetected, 0.5)});
    rows.push_back({"death_all_ms_p95", quantile(allDetected, 0.95)});
}

/*! @brief Measures traffic and processing time of a fleet without faults. */
void measureTraffic(Fleet &fleet, Milliseconds duration, std::vector<Row> &rows)
{
    const auto before = fleet.traffic();
    const auto start = std::chrono::steady_clock::now();
    fleet.run(duration);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    const auto hostSeconds = static_cast<double>(fleet.size()) * static_cast<double>(duration.count()) / 1000;
    const auto datagrams = static_cast<double>(fleet.traffic().datagrams - before.datagrams) / hostSeconds;
    const auto bytes = static_cast<double>(fleet.traffic().bytes - before.bytes) / hostSeconds;
    rows.push_back({"datagrams_per_s", datagrams});
    rows.push_back({"payload_bytes_per_s", bytes});
    rows.push_back({"wire_bytes_per_s", bytes + datagrams * datagramHeaderBytes});
    rows.push_back({"cpu_us_per_s", milliseconds(elapsed) * 1000 / hostSeconds});
}

/*! @brief Counts false suspicions and false deaths while 1% of the datagrams are lost. */
void measureFalseSuspicions(Fleet &fleet, Milliseconds duration, std::vector<Row> &rows)
{
    double suspicions = 0;
    double deaths = 0;
    fleet.setObserver([&](std::size_t, const MembershipAction &action) {
        if (const auto *changed = std::get_if<MemberChanged>(&action)) {
            suspicions += changed->member.state == MemberState::Suspect ? 1 : 0;
            deaths += changed->member.state == MemberState::Dead ? 1 : 0;
        }
    });
    fleet.setLoss(0.01);
    fleet.run(duration);
    fleet.setLoss(0);
    fleet.setObserver({});
    const auto hostHours = static_cast<double>(fleet.size()) * static_cast<double>(duration.count()) / 3.6e6;
    rows.push_back({"false_suspicions_per_host_hour", suspicions / hostHours});
    rows.push_back({"false_deaths_per_host_hour", deaths / hostHours});
}

/*! @brief Partitions one data centre from the others and measures the time to converge once the partition ends. */
void measurePartitionRecovery(Fleet &fleet, std::vector<Row> &rows)
{
    fleet.setReachable([&](std::size_t from, std::size_t to) { return (fleet.dataCentreOf(from) == 0) == (fleet.dataCentreOf(to) == 0); });
    fleet.run(Milliseconds{180'000});
    fleet.setReachable({});
    const auto start = fleet.now();
    const auto before = fleet.traffic();
    const bool recovered = fleet.runUntil([&] { return fleet.converged(); }, Milliseconds{600'000});
    const auto seconds = milliseconds(fleet.now() - start) / 1000;
    rows.push_back({"heal_ms", recovered ? seconds * 1000 : -1});
    rows.push_back({"heal_bytes_per_s", static_cast<double>(fleet.traffic().bytes - before.bytes) / seconds / static_cast<double>(fleet.size())});
}

/*! @brief Measures how long the withdrawal of a key takes to reach all hosts. */
void measureWithdrawalPropagation(Fleet &fleet, std::vector<Row> &rows)
{
    std::vector<double> propagationTimes;
    for (std::size_t n = 0; n < 10; ++n) {
        std::size_t informed = 1;
        fleet.setObserver([&](std::size_t, const MembershipAction &action) { informed += std::holds_alternative<WithdrawalReceived>(action) ? 1 : 0; });
        const auto start = fleet.now();
        fleet.withMembership(n % fleet.size(),
                             [&](Membership &membership, SteadyTime now) { return membership.announceWithdrawal("key-" + std::to_string(n), now); });
        static_cast<void>(fleet.runUntil([&] { return informed == fleet.size(); }, Milliseconds{60'000}));
        propagationTimes.push_back(milliseconds(fleet.now() - start));
        fleet.run(Milliseconds{10'000});
    }
    fleet.setObserver({});
    rows.push_back({"withdrawal_all_ms_p50", quantile(propagationTimes, 0.5)});
    rows.push_back({"withdrawal_all_ms_max", quantile(propagationTimes, 1)});
}

/*! @brief Starts all hosts at once and measures the time until each knows all others. */
void measureColdStart(const FleetSettings &settings, std::vector<Row> &rows)
{
    Fleet fleet(settings);
    fleet.startAll();
    const bool joined = fleet.runUntil([&] { return fleet.converged(); }, Milliseconds{600'000});
    const auto seconds = milliseconds(fleet.now().time_since_epoch()) / 1000;
    rows.push_back({"cold_start_all_ms", joined ? seconds * 1000 : -1});
    rows.push_back({"cold_start_bytes_per_s", static_cast<double>(fleet.traffic().bytes) / seconds / static_cast<double>(fleet.size())});
}

void setSampleState(Fleet &fleet)
{
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        const std::vector<TeamDemand> teams{{"team-court-search", 1200}, {"team-dispatch", 600}, {"team-archive", 50}};
        fleet.membership(n).setDemand(teams, fleet.now());
        fleet.membership(n).setRevision(7500);
        fleet.membership(n).confirmRevision({7500, Milliseconds{0}}, fleet.now());
    }
}

std::vector<Row> measure(std::size_t hosts, std::size_t dataCentres, std::uint64_t seed, bool trafficOnly)
{
    FleetSettings settings;
    settings.hosts = hosts;
    settings.dataCentres = dataCentres;
    settings.seed = seed;
    std::vector<Row> rows;
    if (!trafficOnly) {
        measureColdStart(settings, rows);
    }
    Fleet fleet(settings);
    fleet.startWithFullMemberList();
    fleet.run(settleTime);
    setSampleState(fleet);
    measureTraffic(fleet, Milliseconds{60'000}, rows);
    if (!trafficOnly) {
        measureWithdrawalPropagation(fleet, rows);
        measureFailureDetection(fleet, 20, rows);
        measureFalseSuspicions(fleet, Milliseconds{600'000}, rows);
        measurePartitionRecovery(fleet, rows);
    }
    rows.push_back({"oversized", static_cast<double>(fleet.oversized())});
    return rows;
}

} // namespace

} // namespace guavafield::simulation

int main(int argc, char **argv)
{
    CLI::App app("Measures the membership on a simulated network");
    std::vector<std::size_t> hosts{9, 33, 110, 330};
    std::uint64_t seed = 1;
    bool trafficOnly = false;
    app.add_option("--hosts", hosts, "Numbers of hosts")->delimiter(',');
    app.add_option("--seed", seed, "Seed of all random choices");
    app.add_flag("--traffic-only", trafficOnly, "Leave out deaths, losses and partitions");
    CLI11_PARSE(app, argc, argv);
    std::puts("hosts,data_centres,seed,measure,value");
    for (const auto n : hosts) {
        const std::size_t dataCentres = n <= 36 ? 3 : 12;
        for (const auto &row : guavafield::simulation::measure(n, dataCentres, seed, trafficOnly)) {
            std::printf("%zu,%zu,%llu,%s,%.3f\n", n, dataCentres, static_cast<unsigned long long>(seed), row.name.c_str(), row.value);
            std::fflush(stdout);
        }
    }
    return 0;
}
