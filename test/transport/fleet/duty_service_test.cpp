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

// Rows that can be put back to an earlier state.
struct Store
{
    std::map<RowKey, Row> rows;
    RowVersion version{0};

    [[nodiscard]] Row find(const RowKey &key) const
    {
        const auto it = rows.find(key);
        return it == rows.end() ? Row{key, 0, {}} : it->second;
    }
    TransactionReply transact(const Transaction &transaction)
    {
        for (std::size_t n = 0; n < transaction.conditions.size(); ++n) {
            auto current = find(transaction.conditions[n].key);
            if (current.version != transaction.conditions[n].version) {
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
        return TransactionCommitted{std::vector<RowVersion>(transaction.writes.size(), version)};
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
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io = std::make_unique<asio::io_context>();
        m_store = Store();
        m_reports.clear();
        m_accepts = false;
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
        CPPUNIT_ASSERT(runUntil([&] { return !m_reports.empty() && m_second->reportSentUpTo() != 0; }));
        // The first holder counted both requests.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_reports.front().counts.at("a"));
    }

    void tearDown() override
    {
        endFirst();
        asio::co_spawn(*m_io, m_second->stop(Milliseconds{100}), asio::detached);
        runFor(Milliseconds{300});
        m_io->stop();
        m_first.reset();
        m_second.reset();
        m_io.reset();
    }

    void successorReportsTheSealedFigures()
    {
        const auto window = m_reports.front().window;
        endFirst();
        m_accepts = true;
        CPPUNIT_ASSERT(runUntil([&] { return m_second->reportedUpTo() >= window; }));
        CPPUNIT_ASSERT_EQUAL(HostId{"h1"}, m_reports.back().host);
        expectOneSetOfFigures();
        CPPUNIT_ASSERT(reported("h1", window));
    }

    // The answer to the report was lost, and then the store came back without the seal.
    void reportedWindowIsNotSealedAgainWithOtherFigures()
    {
        const auto window = m_reports.front().window;
        endFirst();
        m_store.rows = m_copy.rows;
        m_accepts = true;
        CPPUNIT_ASSERT(runUntil([&] { return m_second->reportedUpTo() > window; }));
        expectOneSetOfFigures();
        CPPUNIT_ASSERT(!reported("h1", window));
        CPPUNIT_ASSERT(m_counters.value(CounterId::UsageSealsLost) > 0);
    }

private:
    std::shared_ptr<DutyService> makeService(const HostId &host)
    {
        DutyCalls calls;
        calls.reportUsage = [this](DutyHolder holder, BillingWindow window, TeamCounts counts, Milliseconds) -> asio::awaitable<bool> {
            m_reports.push_back({holder.host, window, std::move(counts)});
            co_return m_accepts;
        };
        DutyDependencies dependencies{m_io->get_executor(), m_clock, m_counters, m_store.access(), std::move(calls), {}, {}};
        dependencies.configuration = [] {
            auto result = std::make_shared<Configuration>();
            result->revision = 1;
            result->teams["a"].id = "a";
            return result;
        };
        dependencies.loads = [] { return StringMap<PoolLoad>(); };
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
        m_second->onReport("h0", 1, report);
        m_first->onReport("h1", 1, reportOf(*m_second));
    }

    void endFirst()
    {
        if (m_first) {
            asio::co_spawn(*m_io, m_first->stop(Milliseconds{100}), asio::detached);
            m_first.reset();
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
    std::shared_ptr<DutyService> m_first;
    std::shared_ptr<DutyService> m_second;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyServiceTest);

} // namespace guavafield
