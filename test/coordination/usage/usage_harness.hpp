// Simulated environment for the usage tests: hosts that count, candidates that seal, one table, objects and the platform's billing.
#pragma once

#include <guavafield/coordination/usage/usage_meter.hpp>
#include <guavafield/coordination/usage/usage_sealer.hpp>
#include <guavafield/protocol/records/lease_codec.hpp>
#include <guavafield/protocol/records/usage_codec.hpp>

#include <support/memory_table.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavafield::test {

/*! @brief Outcome of a call. */
enum class CallOutcome {
    Served,
    // Takes effect, but the reply is lost.
    ReplyLost,
    // May take effect later, see UsageHarness::applyDelayed().
    Delayed,
};

class UsageHarness
{
public:
    static constexpr std::size_t hosts = 3;
    // Hosts 0 and 1 are candidates for the lease.
    static constexpr std::size_t sealers = 2;

    UsageHarness()
    {
        for (std::size_t n = 0; n < hosts; ++n) {
            UsageMeterSettings settings;
            settings.self = {"host-" + std::to_string(n), 1};
            settings.flushPhase = Milliseconds{100 * n};
            m_meters.emplace_back(settings, usageCodec());
        }
        for (std::size_t n = 0; n < sealers; ++n) {
            m_sealers.emplace_back(LeaseHolder{"host-" + std::to_string(n), 1});
        }
    }

    void advance(Milliseconds time)
    {
        m_now += time;
        m_wall += time;
    }

    void count(std::size_t host, std::size_t team, std::uint64_t tokens)
    {
        const UsageDimensions dimensions{"team-" + std::to_string(team), "class", "model-" + std::to_string(tokens % 2)};
        const UsageCounts counts{1, tokens, 2 * tokens};
        m_meters[host].count(dimensions, counts, m_now);
        counted[dimensions] += counts;
    }

    void flush(std::size_t host, CallOutcome outcome)
    {
        auto &meter = m_meters[host];
        // A host learns the platform's time from answers only.
        if (!m_outage) {
            meter.setPlatformTime(m_wall, m_now);
        }
        if (auto action = meter.step(m_now)) {
            meter.onTransaction(transact(action->transaction, outcome), m_now);
        }
    }

    void stepLease(std::size_t n, CallOutcome outcome)
    {
        auto &lease = m_sealers[n].lease;
        auto actions = lease.step(m_now);
        for (int round = 0; round < 4 && !actions.empty(); ++round) {
            std::vector<LeaseAction> next;
            for (const auto &it : actions) {
                if (const auto *write = std::get_if<TransactAction>(&it)) {
                    append(next, lease.onTransaction(transact(write->transaction, outcome), m_now));
                } else if (const auto *read = std::get_if<ReadAction>(&it)) {
                    append(next, lease.onRead(table.read(read->keys), m_now));
                } else if (std::holds_alternative<ListHostsAction>(it)) {
                    append(next, lease.onHosts({}, m_now));
                }
            }
            actions = std::move(next);
        }
    }

    /*! @brief Lets a sealer take one step; a report that it begins is sent by report(). */
    void seal(std::size_t n, CallOutcome outcome)
    {
        auto &it = m_sealers[n];
        if (it.report) {
            return;
        }
        auto action = it.sealer.step(m_now, m_wall);
        if (!action) {
            return;
        }
        std::visit(Overloaded{
                       [&](const TransactAction &write) { it.sealer.onTransaction(transact(write.transaction, outcome), m_now); },
                       [&](const ReadAction &read) { it.sealer.onRows(table.read(read.keys), m_now); },
                       [&](const ScanAction &scan) { it.sealer.onRows(table.scan(scan.range), m_now); },
                       [&](const StoreFiguresAction &store) {
                           m_objects[store.name] = store.text;
                           it.sealer.onStored(outcome == CallOutcome::Served, m_now);
                       },
                       [&](const FetchFiguresAction &fetch) {
                           it.sealer.onFetched(m_objects.contains(fetch.name) ? std::optional(m_objects[fetch.name]) : std::nullopt, m_now);
                       },
                       [&](const ReportUsageAction &report) { it.report = report; },
                   },
                   *action);
    }

    /*! @brief Sends the report that the sealer has begun. */
    void report(std::size_t n, CallOutcome outcome)
    {
        auto &it = m_sealers[n];
        if (!it.report) {
            return;
        }
        const auto report = *std::exchange(it.report, std::nullopt);
        auto &billed = m_billed[report.window];
        if (!billed.figures.empty() && billed.figures != report.figures) {
            faults.emplace_back("a window was reported with different figures");
        }
        if (!billed.senders.empty() && billed.senders.back() != n && std::ranges::count(billed.senders, n) > 0) {
            faults.emplace_back("an earlier reporter sent after a later one");
        }
        billed.figures = report.figures;
        billed.senders.push_back(n);
        ++reports;
        it.sealer.onReported(outcome == CallOutcome::Served, m_now);
    }

    void setOutage(bool outage)
    {
        m_outage = outage;
        table.setOutage(outage);
    }

    void applyDelayed()
    {
        if (!m_delayed.empty()) {
            static_cast<void>(table.transact(m_delayed.front()));
            m_delayed.pop_front();
        }
    }

    /*! @brief Runs all hosts with an available platform until everything is reported, then compares the bill with what was counted. */
    void drain()
    {
        setOutage(false);
        while (!m_delayed.empty()) {
            applyDelayed();
        }
        for (int round = 0; round < 900; ++round) {
            advance(Milliseconds{1'500});
            for (std::size_t n = 0; n < hosts; ++n) {
                flush(n, CallOutcome::Served);
            }
            for (std::size_t n = 0; n < sealers; ++n) {
                stepLease(n, CallOutcome::Served);
                for (int steps = 0; steps < 3; ++steps) {
                    seal(n, CallOutcome::Served);
                    report(n, CallOutcome::Served);
                }
            }
        }
        if (!std::ranges::all_of(m_meters, [](const UsageMeter &it) { return it.drained(); })) {
            faults.emplace_back("a host still holds figures");
        }
        if (billed() != counted) {
            faults.emplace_back("the bill differs from what was counted");
        }
    }

    [[nodiscard]] UsageFigures billed() const
    {
        UsageFigures sum;
        for (const auto &[window, bill] : m_billed) {
            const auto figures = boost::json::parse(bill.figures);
            for (const auto &it : figures.as_array()) {
                const auto text = [&](const char *name) { return std::string(it.at(name).as_string()); };
                const auto number = [&](const char *name) { return it.at(name).to_number<std::uint64_t>(); };
                sum[{text("team"), text("class"), text("model")}] += {number("requests"), number("prompt_tokens"), number("output_tokens")};
            }
        }
        return sum;
    }

    [[nodiscard]] UsageMeter &meter(std::size_t n)
    {
        return m_meters[n];
    }

    MemoryTable table;
    UsageFigures counted;
    std::vector<std::string> faults;
    std::size_t reports{0};

private:
    struct Sealer
    {
        explicit Sealer(const LeaseHolder &self) : lease(LeaseSettings{"usage", self}, leaseCodec()), sealer(settingsFor(self), usageCodec(), lease) { }

        static UsageSealerSettings settingsFor(const LeaseHolder &self)
        {
            UsageSealerSettings settings;
            settings.self = self;
            // Small pages, so that a window spans several.
            settings.scanRows = 3;
            return settings;
        }

        LeaseClient lease;
        UsageSealer sealer;
        std::optional<ReportUsageAction> report;
    };

    struct Bill
    {
        std::string figures;
        std::vector<std::size_t> senders;
    };

    static void append(std::vector<LeaseAction> &actions, std::vector<LeaseAction> more)
    {
        std::ranges::move(more, std::back_inserter(actions));
    }

    TransactionReply transact(const Transaction &transaction, CallOutcome outcome)
    {
        if (outcome == CallOutcome::Delayed) {
            m_delayed.push_back(transaction);
            return TransactionUnknown{};
        }
        auto reply = table.transact(transaction);
        return outcome == CallOutcome::ReplyLost ? TransactionReply{TransactionUnknown{}} : reply;
    }

    std::deque<UsageMeter> m_meters;
    std::deque<Sealer> m_sealers;
    std::map<std::string, std::string> m_objects;
    std::map<UsageWindow, Bill> m_billed;
    std::deque<Transaction> m_delayed;
    bool m_outage{false};
    SteadyTime m_now{std::chrono::hours{1}};
    WallTime m_wall{std::chrono::hours{500'000}};
};

} // namespace guavafield::test
