// Tests of the calls of the host that holds the duties, and of what its successor does.
#include <guavafield/transport/fleet/duty_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace guavafield {

namespace {

namespace asio = boost::asio;

constexpr Milliseconds windowLength{1'000};

// Rows that can be put back to an earlier state, after which versions are given out again in a new epoch.
struct Store
{
    std::map<RowKey, Row> rows;
    RowVersion version{0};
    std::uint64_t epoch{0};

    [[nodiscard]] Row find(const RowKey &key) const
    {
        const auto it = rows.find(key);
        if (it == rows.end()) {
            return Row{key, versionInEpoch(epoch, 0), {}};
        }
        return Row{key, versionInEpoch(epoch, it->second.version), it->second.value};
    }
    void restore(const Store &copy)
    {
        rows = copy.rows;
        version = copy.version;
        ++epoch;
    }
    TransactionReply transact(const Transaction &transaction)
    {
        for (std::size_t n = 0; n < transaction.conditions.size(); ++n) {
            auto current = find(transaction.conditions[n].key);
            if (withoutEpoch(current.version) != withoutEpoch(transaction.conditions[n].version)) {
                return TransactionConflict{n, std::move(current)};
            }
        }
        ++version;
        for (const auto &it : transaction.writes) {
            rows.erase(it.key);
            if (it.value) {
                rows[it.key] = Row{it.key, version, *it.value};
            }
        }
        return TransactionCommitted{std::vector<RowVersion>(transaction.writes.size(), versionInEpoch(epoch, version))};
    }
    [[nodiscard]] TableAccess access()
    {
        TableAccess result;
        result.transact = [this](Transaction it) -> asio::awaitable<TransactionReply> { co_return transact(it); };
        result.read = [this](std::vector<RowKey> keys) -> asio::awaitable<ReadReply> {
            ReadRows read;
            for (const auto &it : keys) {
                read.rows.push_back(find(it));
            }
            co_return read;
        };
        result.hosts = []() -> asio::awaitable<std::vector<ListedHost>> { co_return std::vector<ListedHost>(); };
        return result;
    }
};

struct Report
{
    HostId host;
    BillingWindow window{0};
    TeamCounts counts;
};

} // namespace

class DutyServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DutyServiceTest);
    CPPUNIT_TEST(successorReportsTheSealedFigures);
    CPPUNIT_TEST(reportedWindowIsNotSealedAgainWithOtherFigures);
    CPPUNIT_TEST(reportThatNobodyHeardOfIsNotRepeatedWithOtherFigures);
    CPPUNIT_TEST(hostThatStartsAfterTheLossOfASealDoesNotReplaceIt);
    CPPUNIT_TEST(successorSealsWhatItsPredecessorDidNot);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io = std::make_unique<asio::io_context>();
        m_store = Store();
        m_reports.clear();
        m_accepts = false;
        m_isHeard = true;
        m_first = makeService("h0");
        m_second = makeService("h1");
        m_first->setCandidates(std::vector<HostId>{"h0"});
        m_first->start();
        m_copy = m_store;
        // Both count in the same window.
        CPPUNIT_ASSERT(runUntil([&] { return m_first->fence() != 0 && isEarlyInWindow(); }));
        m_first->onStarted("a");
        m_second->onStarted("a");
        m_second->start();
    }

    void tearDown() override
    {
        end(m_first);
        end(m_second);
        end(m_third);
        runFor(Milliseconds{300});
        m_io->stop();
        m_io.reset();
    }

    void successorReportsTheSealedFigures()
    {
        awaitReport();
        CPPUNIT_ASSERT(runUntil([&] { return m_second->reportSentUpTo() != 0; }));
        const auto window = m_reports.front().window;
        end(m_first);
        m_accepts = true;
        CPPUNIT_ASSERT(runUntil([&] { return m_second->reportedUpTo() >= window; }));
        CPPUNIT_ASSERT_EQUAL(HostId{"h1"}, m_reports.back().host);
        expectOneSetOfFigures();
        CPPUNIT_ASSERT(reported("h1", window));
    }

    // The answer to the report was lost, and then the store came back without the seal.
    void reportedWindowIsNotSealedAgainWithOtherFigures()
    {
        awaitReport();
        CPPUNIT_ASSERT(runUntil([&] { return m_second->reportSentUpTo() != 0; }));
        const auto window = m_reports.front().window;
        end(m_first);
        m_store.rows = m_copy.rows;
        m_accepts = true;
        CPPUNIT_ASSERT(runUntil([&] { return m_second->reportedUpTo() > window; }));
        expectOneSetOfFigures();
        CPPUNIT_ASSERT(!reported("h1", window));
        CPPUNIT_ASSERT(m_counters.value(CounterId::UsageSealsLost) > 0);
    }

    // The reporter is killed before it can tell anyone, and the store comes back without the seal: its successor must not make up other figures.
    void reportThatNobodyHeardOfIsNotRepeatedWithOtherFigures()
    {
        m_isHeard = false;
        awaitReport();
        const auto window = m_reports.front().window;
        end(m_first);
        m_store.restore(m_copy);
        m_accepts = true;
        CPPUNIT_ASSERT(runUntil([&] { return m_second->reportedUpTo() > window; }));
        expectOneSetOfFigures();
        CPPUNIT_ASSERT(!reported("h1", window));
        // Windows that end later are reported as usual.
        const auto lost = m_second->reportedUpTo();
        CPPUNIT_ASSERT(runUntil([&] { return reported("h1", lost + 2); }));
    }

    // The same where the successor is a process that has never seen the table before the loss.
    void hostThatStartsAfterTheLossOfASealDoesNotReplaceIt()
    {
        m_isHeard = false;
        awaitReport();
        const auto window = m_reports.front().window;
        end(m_first);
        m_second->setCandidates(std::vector<HostId>{"h2"});
        m_store.restore(m_copy);
        m_accepts = true;
        m_third = makeService("h2");
        m_third->setCandidates(std::vector<HostId>{"h2"});
        m_third->start();
        const auto hear = [&] { m_third->onReport("h1", 1, reportOf(*m_second)); };
        CPPUNIT_ASSERT(runUntil([&] {
            hear();
            return m_third->reportedUpTo() > window;
        }));
        expectOneSetOfFigures();
        CPPUNIT_ASSERT(!reported("h2", window));
    }

    // A holder that ends before it has sealed leaves its windows to the next one, if the store has lost nothing.
    void successorSealsWhatItsPredecessorDidNot()
    {
        const auto window = openWindow();
        CPPUNIT_ASSERT(runUntil([&] { return openWindow() > window; }));
        end(m_first);
        m_accepts = true;
        CPPUNIT_ASSERT(runUntil([&] { return reported("h1", window); }));
        expectOneSetOfFigures();
    }

private:
    std::shared_ptr<DutyService> makeService(const HostId &host)
    {
        DutyCalls calls;
        calls.reportUsage = [this](DutyHolder holder, BillingWindow window, TeamCounts counts, Milliseconds) -> asio::awaitable<bool> {
            m_reports.push_back({holder.host, window, std::move(counts)});
            co_return m_accepts;
        };
        DutyDependencies dependencies{m_io->get_executor(), m_clock, m_counters, m_store.access(), std::move(calls), {}, {}, {}};
        dependencies.configuration = [] {
            auto result = std::make_shared<Configuration>();
            result->revision = 1;
            result->teams["a"].id = "a";
            return result;
        };
        dependencies.loads = [] { return StringMap<PoolLoad>(); };
        dependencies.tableVersion = [this] { return std::optional(versionInEpoch(m_store.epoch, m_store.version)); };
        DutySettings settings;
        settings.self = {host, 1};
        settings.holderGap = Milliseconds{0};
        settings.windowLength = std::chrono::duration_cast<std::chrono::seconds>(windowLength);
        settings.ordersUpstreams = false;
        auto service = std::make_shared<DutyService>(std::move(dependencies), std::move(settings));
        service->onOwnTime(m_clock.wallNow());
        return service;
    }

    [[nodiscard]] HostReport reportOf(DutyService &service) const
    {
        HostReport report;
        report.wall = m_clock.wallNow();
        report.windows = service.ownCounts();
        report.reportedUpTo = service.reportedUpTo();
        report.reportSentUpTo = service.reportSentUpTo();
        report.dutyFence = service.fence();
        return report;
    }

    // Exchanges reports; the counts of the first host are lost on the way.
    void exchangeReports()
    {
        if (!m_first) {
            return;
        }
        auto report = reportOf(*m_first);
        report.windows.clear();
        if (!m_isHeard) {
            report.reportSentUpTo = 0;
        }
        m_second->onReport("h0", 1, report);
        m_first->onReport("h1", 1, reportOf(*m_second));
    }

    // Waits for the first report; the first holder has counted both requests.
    void awaitReport()
    {
        CPPUNIT_ASSERT(runUntil([&] { return !m_reports.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_reports.front().counts.at("a"));
    }

    void end(std::shared_ptr<DutyService> &service)
    {
        if (service) {
            asio::co_spawn(*m_io, service->stop(Milliseconds{100}), asio::detached);
            service.reset();
        }
    }

    void runFor(Milliseconds time)
    {
        m_io->restart();
        m_io->run_for(time);
    }
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            exchangeReports();
            runFor(Milliseconds{50});
        }
        return true;
    }

    [[nodiscard]] BillingWindow openWindow() const
    {
        return static_cast<BillingWindow>(m_clock.wallNow().time_since_epoch() / windowLength);
    }
    [[nodiscard]] bool isEarlyInWindow() const
    {
        const auto sinceStart = m_clock.wallNow().time_since_epoch() % windowLength;
        return sinceStart > windowLength / 10 && sinceStart < windowLength / 2;
    }
    [[nodiscard]] bool reported(const HostId &host, BillingWindow window) const
    {
        return std::ranges::any_of(m_reports, [&](const Report &it) { return it.host == host && it.window == window; });
    }
    void expectOneSetOfFigures() const
    {
        std::map<BillingWindow, TeamCounts> figures;
        for (const auto &it : m_reports) {
            CPPUNIT_ASSERT(figures.try_emplace(it.window, it.counts).first->second == it.counts);
        }
    }

    SystemClock m_clock;
    Counters m_counters;
    std::unique_ptr<asio::io_context> m_io;
    Store m_store;
    Store m_copy;
    std::vector<Report> m_reports;
    bool m_accepts{false};
    // Whether the second host hears of the first one's report.
    bool m_isHeard{true};
    std::shared_ptr<DutyService> m_first;
    std::shared_ptr<DutyService> m_second;
    std::shared_ptr<DutyService> m_third;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyServiceTest);

} // namespace guavafield
