// Simulates a fleet on a manual clock, without sockets.
#include "bench/durable/fleet.hpp"

#include "test/support/memory_table.hpp"

#include <guavafield/coordination/lease/candidate_rank.hpp>
#include <guavafield/coordination/usage/usage_meter.hpp>
#include <guavafield/coordination/usage/usage_sealer.hpp>
#include <guavafield/protocol/platform/platform_json.hpp>
#include <guavafield/protocol/records/lease_codec.hpp>
#include <guavafield/protocol/records/usage_codec.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

namespace guavafield::bench {

namespace {

constexpr std::size_t dataCentres = 12;
constexpr std::size_t teams = 5'000;
constexpr std::size_t models = 14;
constexpr int requestsPerSecond = 76;
constexpr int measuredSeconds = 900;
// Header bytes of a request and its response on a persistent connection, counted from the platform client's requests.
constexpr std::size_t headerBytes = 350;

struct TableTraffic
{
    std::uint64_t writes{0};
    std::uint64_t reads{0};
    std::uint64_t bytes{0};
};

// Samples teams with a probability proportional to 1/rank.
class ZipfTeamDistribution
{
public:
    ZipfTeamDistribution()
    {
        double sum = 0;
        for (std::size_t n = 1; n <= teams; ++n) {
            m_cumulativeWeights.push_back(sum += 1.0 / static_cast<double>(n));
        }
    }

    std::size_t operator()(std::mt19937_64 &random) const
    {
        const auto sample = std::uniform_real_distribution<double>(0, m_cumulativeWeights.back())(random);
        return static_cast<std::size_t>(std::ranges::lower_bound(m_cumulativeWeights, sample) - m_cumulativeWeights.begin());
    }

private:
    std::vector<double> m_cumulativeWeights;
};

struct Host
{
    Host(const LeaseHolder &self, const std::string &dataCentre, Milliseconds phase)
        : ordersLease(leaseSettings("orders/" + dataCentre, self), leaseCodec())
        , usageLease(leaseSettings("usage", self), leaseCodec())
        , meter(meterSettings(self, phase), usageCodec())
        , sealer(sealerSettings(self), usageCodec(), usageLease)
    {
    }

    static LeaseSettings leaseSettings(const std::string &name, const LeaseHolder &self)
    {
        LeaseSettings settings;
        settings.name = name;
        settings.self = self;
        return settings;
    }

    static UsageMeterSettings meterSettings(const LeaseHolder &self, Milliseconds phase)
    {
        UsageMeterSettings settings;
        settings.self = self;
        settings.flushPhase = phase;
        return settings;
    }

    static UsageSealerSettings sealerSettings(const LeaseHolder &self)
    {
        UsageSealerSettings settings;
        settings.self = self;
        return settings;
    }

    LeaseClient ordersLease;
    LeaseClient usageLease;
    UsageMeter meter;
    UsageSealer sealer;
    TableTraffic cost;
};

class Fleet
{
public:
    explicit Fleet(std::size_t hosts)
    {
        std::vector<HostId> all;
        std::map<std::string, std::vector<HostId>> byDataCentre;
        for (std::size_t n = 0; n < hosts; ++n) {
            all.push_back("host-" + std::to_string(n));
            byDataCentre[dataCentre(n)].push_back(all.back());
        }
        for (std::size_t n = 0; n < hosts; ++n) {
            auto &host = m_hosts.emplace_back(LeaseHolder{all[n], 1}, dataCentre(n), Milliseconds{15'000 * n / hosts});
            host.usageLease.setRank(candidateRank("usage", all[n], all));
            host.ordersLease.setRank(candidateRank("orders/" + dataCentre(n), all[n], byDataCentre[dataCentre(n)]));
        }
    }

    FleetCost run()
    {
        for (int second = 0; second < measuredSeconds; ++second) {
            for (int step = 0; step < 5; ++step) {
                m_now += Milliseconds{200};
                m_wall += Milliseconds{200};
                for (auto &it : m_hosts) {
                    stepLease(it, it.ordersLease);
                    stepLease(it, it.usageLease);
                }
            }
            for (auto &it : m_hosts) {
                countRequests(it);
                flushUsage(it);
                stepSealer(it);
            }
        }
        return summary();
    }

private:
    static std::string dataCentre(std::size_t n)
    {
        return "dc-" + std::to_string(n % dataCentres);
    }

    TransactionReply transact(Host &host, const Transaction &transaction)
    {
        const auto body = capture([&] { return formatTransaction(transaction); });
        host.cost.bytes += body.value.value_or(std::string()).size() + headerBytes;
        ++host.cost.writes;
        return m_table.transact(transaction);
    }

    ReadReply countRead(Host &host, std::size_t requestBytes, ReadReply reply)
    {
        host.cost.bytes += requestBytes + headerBytes;
        ++host.cost.reads;
        for (const auto &it : std::get<ReadRows>(reply).rows) {
            host.cost.bytes += it.key.key.size() + it.value.size();
        }
        return reply;
    }

    void stepLease(Host &host, LeaseClient &client)
    {
        for (auto actions = client.step(m_now); !actions.empty();) {
            std::vector<LeaseAction> next;
            for (const auto &it : actions) {
                if (const auto *write = std::get_if<TransactAction>(&it)) {
                    next = client.onTransaction(transact(host, write->transaction), m_now);
                } else if (const auto *read = std::get_if<ReadAction>(&it)) {
                    next = client.onRead(countRead(host, formatReadRequest(read->keys).size(), m_table.read(read->keys)), m_now);
                }
            }
            actions = std::move(next);
        }
    }

    void countRequests(Host &host)
    {
        for (int n = 0; n < requestsPerSecond; ++n) {
            const auto team = m_teamDistribution(m_random);
            const auto sample = m_random() % 10;
            // Each team uses two classes and three models.
            const auto model = (team * 7 + (sample < 7 ? 0 : sample < 9 ? 1 : 2)) % models;
            const UsageDimensions dimensions{"team-" + std::to_string(team), sample % 5 == 0 ? "batch" : "interactive", "model-" + std::to_string(model)};
            host.meter.count(dimensions, {1, 100 + m_random() % 2'000, 20 + m_random() % 400}, m_now);
        }
    }

    void flushUsage(Host &host)
    {
        host.meter.setPlatformTime(m_wall, m_now);
        if (const auto action = host.meter.step(m_now)) {
            m_flushBytes += action->transaction.writes[0].value->size();
            ++m_flushes;
            host.meter.onTransaction(transact(host, action->transaction), m_now);
        }
    }

    void stepSealer(Host &host)
    {
        while (auto action = host.sealer.step(m_now, m_wall)) {
            if (const auto *write = std::get_if<TransactAction>(&*action)) {
                host.sealer.onTransaction(transact(host, write->transaction), m_now);
            } else if (const auto *read = std::get_if<ReadAction>(&*action)) {
                host.sealer.onRows(countRead(host, formatReadRequest(read->keys).size(), m_table.read(read->keys)), m_now);
            } else if (const auto *scan = std::get_if<ScanAction>(&*action)) {
                host.sealer.onRows(countRead(host, formatScanRequest(scan->range).size(), m_table.scan(scan->range)), m_now);
            } else if (const auto *store = std::get_if<StoreFiguresAction>(&*action)) {
                host.cost.bytes += store->text.size() + headerBytes;
                host.sealer.onStored(true, m_now);
            } else if (const auto *report = std::get_if<ReportUsageAction>(&*action)) {
                host.cost.bytes += report->figures.size() + headerBytes;
                host.sealer.onReported(true, m_now);
            } else {
                host.sealer.onFetched({}, m_now);
            }
        }
    }

    FleetCost summary() const
    {
        FleetCost result;
        result.hosts = m_hosts.size();
        result.bytesPerFlush = static_cast<double>(m_flushBytes) / static_cast<double>(m_flushes);
        for (const auto &it : m_hosts) {
            const auto *role = it.usageLease.fence(m_now) ? "usage lease" : it.ordersLease.fence(m_now) ? "orders lease" : "no lease";
            auto &cost = result.roles[role];
            ++cost.hosts;
            cost.writesPerSecond += static_cast<double>(it.cost.writes) / measuredSeconds;
            cost.readsPerSecond += static_cast<double>(it.cost.reads) / measuredSeconds;
            cost.bytesPerSecond += static_cast<double>(it.cost.bytes) / measuredSeconds;
        }
        return result;
    }

    test::MemoryTable m_table;
    std::deque<Host> m_hosts;
    ZipfTeamDistribution m_teamDistribution;
    std::mt19937_64 m_random{1};
    std::uint64_t m_flushBytes{0};
    std::uint64_t m_flushes{0};
    SteadyTime m_now{std::chrono::hours{1}};
    WallTime m_wall{std::chrono::hours{500'000}};
};

} // namespace

FleetCost measureFleetCost(std::size_t hosts)
{
    return Fleet(hosts).run();
}

void printFleetCost(std::ostream &out, const FleetCost &cost)
{
    for (const auto &[role, it] : cost.roles) {
        out << "fleet," << cost.hosts << "," << role << "," << it.hosts << "," << it.writesPerSecond << "," << it.readsPerSecond << ","
            << it.bytesPerSecond / static_cast<double>(it.hosts) << "\n";
    }
    out << "flush," << cost.hosts << ",mean bytes of a row," << cost.bytesPerFlush << ",,,\n";
}

} // namespace guavafield::bench
