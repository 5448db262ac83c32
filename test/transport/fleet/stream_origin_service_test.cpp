// Tests of what hosts know of streams that they or others began, over losses of hosts and of the store.
#include <guavafield/transport/fleet/stream_origin_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace guavafield {

namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

constexpr Milliseconds timeout{30'000};
constexpr Milliseconds reach = timeout + VersionHistory::takeUpMargin;

// The platform's store, which can be away, and counts what it is asked for.
struct Store
{
    std::map<RowKey, Row> rows;
    RowVersion version{0};
    std::uint64_t epoch{0};
    bool isAway{false};
    int writes{0};
    int reads{0};
    std::size_t writtenBytes{0};

    [[nodiscard]] RowVersion versionOf(const RowKey &key) const
    {
        const auto it = rows.find(key);
        return it == rows.end() ? 0 : it->second.version;
    }
    TransactionReply transact(const Transaction &transaction)
    {
        ++writes;
        if (isAway) {
            return TransactionRejected{};
        }
        for (std::size_t n = 0; n < transaction.conditions.size(); ++n) {
            const auto &condition = transaction.conditions[n];
            if (versionOf(condition.key) != withoutEpoch(condition.version)) {
                return TransactionConflict{n, Row{condition.key, versionInEpoch(epoch, versionOf(condition.key)), {}}};
            }
        }
        ++version;
        for (const auto &it : transaction.writes) {
            rows.erase(it.key);
            if (it.value) {
                rows[it.key] = Row{it.key, version, *it.value};
                writtenBytes += it.key.key.size() + it.value->size();
            }
        }
        return TransactionCommitted{std::vector<RowVersion>(transaction.writes.size(), versionInEpoch(epoch, version))};
    }
    TableReply pageAfter(const std::string &table, RowVersion after)
    {
        ++reads;
        if (isAway) {
            return TableUnavailable{"away"};
        }
        TablePage page;
        page.complete = versionInEpoch(epoch, version);
        for (const auto &[key, row] : rows) {
            if (key.table == table && row.version > withoutEpoch(after)) {
                page.rows.push_back({key.key, versionInEpoch(epoch, row.version), row.value});
            }
        }
        return page;
    }
    [[nodiscard]] TableAccess access()
    {
        TableAccess result;
        result.transact = [this](Transaction it) -> asio::awaitable<TransactionReply> { co_return transact(it); };
        return result;
    }
    [[nodiscard]] TableFeed feed()
    {
        TableFeed result;
        result.readAll = [this](std::string table) -> asio::awaitable<TableReply> { co_return pageAfter(table, 0); };
        result.follow = [this](std::string table, RowVersion after, Milliseconds) -> asio::awaitable<TableReply> { co_return pageAfter(table, after); };
        return result;
    }
};

// The answer to a take-up, once there is one.
struct Lookup
{
    bool answered{false};
    std::optional<StreamOrigin> origin;
};

struct Host
{
    std::shared_ptr<StreamOriginService> service;
    StreamOriginHooks hooks;
    bool isCut{false};
};

std::shared_ptr<const Configuration> configurationOf(const std::vector<SoftwareVersion> &versions)
{
    auto configuration = std::make_shared<Configuration>();
    for (const auto &version : versions) {
        auto &upstream = configuration->upstreams["u" + version];
        upstream.pool = "text";
        upstream.softwareVersion = version;
    }
    auto &route = configuration->routes["text"];
    route.timeout = timeout;
    PoolTarget target;
    target.pools.push_back({"text", 1.0});
    route.target = target;
    return configuration;
}

} // namespace

class StreamOriginServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamOriginServiceTest);
    CPPUNIT_TEST(hostThatKnowsNothingFindsWhatAnotherBeganDuringARelease);
    CPPUNIT_TEST(originThatIsNoLongerCertainIsNotTakenFromTheHostsOwnRow);
    CPPUNIT_TEST(streamThatWasNotWrittenBeforeAllHostsDiedIsNotJoined);
    CPPUNIT_TEST(streamOfAVersionThatJustLeftIsNotJoinedWithTheNewOne);
    CPPUNIT_TEST(streamOfTheOnlyVersionGoesOnThoughNobodyRemembersIt);
    CPPUNIT_TEST(streamOfBeforeTheReleaseIsFoundAfterIt);
    CPPUNIT_TEST(liveHostThatHasNotWrittenYetIsAskedAgain);
    CPPUNIT_TEST(storeThatIsAwayMakesNothingKnown);
    CPPUNIT_TEST(hostWithoutContactDoesNotTakeItsOldVersionForTheOnlyOne);
    CPPUNIT_TEST(versionThatJoinedUnseenIsNotTakenForTheOnlyOne);
    CPPUNIT_TEST(soleVersionIsNotTrustedWhileTheStoreIsAway);
    CPPUNIT_TEST(manyTakeUpsShareTheReadsOfTheUpstreams);
    CPPUNIT_TEST(routeToSeveralPoolsNeedsARecord);
    CPPUNIT_TEST(takeUpWithoutAnAttemptGoesOnOnlyAtASoleVersion);
    CPPUNIT_TEST(nothingIsWrittenForStreamsOfTheOnlyVersion);
    CPPUNIT_TEST(writesDuringAReleaseAreBounded);
    CPPUNIT_TEST(rowsThatEndedLongAgoAreRemoved);
    CPPUNIT_TEST(firstStartOfTheSystemHasNoUnknownPast);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io = std::make_unique<asio::io_context>();
        m_store = Store();
        m_hosts.clear();
        m_clock.advance(seconds{1'000});
        m_configuration = configurationOf({"1"});
        m_newest.reset();
        m_upstreamReads = 0;
    }

    void tearDown() override
    {
        killAll();
        run(Milliseconds{400});
        m_io->stop();
        m_io.reset();
    }

    void hostThatKnowsNothingFindsWhatAnotherBeganDuringARelease()
    {
        settle();
        m_configuration = configurationOf({"1", "2"});
        run(seconds{1});
        begin(0, "a", "1");
        begin(0, "b", "2");
        run(seconds{1});
        killAll();
        startHost("h1");
        expectOrigin("a", "1");
        expectOrigin("b", "2");
    }

    void originThatIsNoLongerCertainIsNotTakenFromTheHostsOwnRow()
    {
        settle();
        m_configuration = configurationOf({"1", "2"});
        run(seconds{1});
        begin(0, "a", "1");
        run(seconds{1});
        begin(0, "a", "2");
        expectUnknown("a");
    }

    void streamThatWasNotWrittenBeforeAllHostsDiedIsNotJoined()
    {
        settle();
        m_configuration = configurationOf({"1", "2"});
        run(seconds{1});
        begin(0, "a", "1");
        m_io->poll();
        killAll();
        startHost("h1");
        expectUnknown("a");
    }

    void streamOfAVersionThatJustLeftIsNotJoinedWithTheNewOne()
    {
        settle();
        begin(0, "a", "1");
        killAll();
        m_configuration = configurationOf({"2"});
        startHost("h1");
        run(seconds{2});
        expectUnknown("a");
        // A host that comes after that reads of it in the row alone.
        killAll();
        startHost("h2");
        expectUnknown("a");
    }

    void streamOfTheOnlyVersionGoesOnThoughNobodyRemembersIt()
    {
        settle();
        begin(0, "a", "1");
        killAll();
        startHost("h1");
        run(seconds{1});
        expectOrigin("a", "1");
    }

    void streamOfBeforeTheReleaseIsFoundAfterIt()
    {
        settle();
        begin(0, "a", "1");
        run(seconds{1});
        m_configuration = configurationOf({"1", "2"});
        run(seconds{2});
        killAll();
        startHost("h1");
        expectOrigin("a", "1");
    }

    void liveHostThatHasNotWrittenYetIsAskedAgain()
    {
        settle();
        startHost("h1");
        m_configuration = configurationOf({"1", "2"});
        run(seconds{2});
        // The first host has just written, so that its next write comes a whole interval later.
        begin(0, "a", "1");
        run(Milliseconds{300});
        begin(0, "b", "2");
        const auto lookup = takeUp("b", 1);
        CPPUNIT_ASSERT(runUntil([&] { return lookup->answered; }));
        CPPUNIT_ASSERT(lookup->origin && lookup->origin->version == "2");
    }

    void storeThatIsAwayMakesNothingKnown()
    {
        settle();
        m_configuration = configurationOf({"1", "2"});
        run(seconds{1});
        begin(0, "a", "1");
        run(seconds{1});
        killAll();
        m_store.isAway = true;
        startHost("h1");
        expectUnknown("a");
        m_store.isAway = false;
        expectOrigin("a", "1");
    }

    void hostWithoutContactDoesNotTakeItsOldVersionForTheOnlyOne()
    {
        settle();
        CPPUNIT_ASSERT(takeUpNow("a"));
        m_hosts[0].isCut = true;
        m_clock.advance(seconds{3});
        expectUnknown("b");
        // Back in touch, it has to read what it missed.
        m_store.isAway = true;
        m_hosts[0].isCut = false;
        m_clock.advance(seconds{3});
        expectUnknown("c");
        m_store.isAway = false;
        run(seconds{2});
        expectOrigin("d", "1");
    }

    // Guards against a host out of step whose table counts as new though a peer's report had been on its way for long.
    void versionThatJoinedUnseenIsNotTakenForTheOnlyOne()
    {
        settle();
        m_newest = configurationOf({"1", "2"});
        expectUnknown("a");
    }

    void soleVersionIsNotTrustedWhileTheStoreIsAway()
    {
        settle();
        m_store.isAway = true;
        expectUnknown("a");
        m_store.isAway = false;
        expectOrigin("b", "1");
    }

    void manyTakeUpsShareTheReadsOfTheUpstreams()
    {
        settle();
        m_upstreamReads = 0;
        std::vector<std::shared_ptr<Lookup>> lookups(500);
        for (std::size_t n = 0; n < lookups.size(); ++n) {
            lookups[n] = takeUp(std::to_string(n), 0);
        }
        CPPUNIT_ASSERT(runUntil([&] { return std::ranges::all_of(lookups, [](const auto &it) { return it->answered && it->origin; }); }));
        CPPUNIT_ASSERT(m_upstreamReads <= 2);
    }

    void routeToSeveralPoolsNeedsARecord()
    {
        settle();
        begin(0, "a", "1", true);
        run(seconds{1});
        killAll();
        startHost("h1");
        run(seconds{1});
        CPPUNIT_ASSERT(find("a", true));
        CPPUNIT_ASSERT(!find("b", true));
        CPPUNIT_ASSERT(find("b", false));
    }

    void takeUpWithoutAnAttemptGoesOnOnlyAtASoleVersion()
    {
        settle();
        expectOrigin("", "1");
        m_configuration = configurationOf({"1", "2"});
        expectUnknown("");
    }

    void nothingIsWrittenForStreamsOfTheOnlyVersion()
    {
        settle();
        const auto writes = m_store.writes;
        const auto reads = m_store.reads;
        for (int n = 0; n < 500; ++n) {
            begin(0, std::to_string(n), "1");
        }
        run(seconds{5});
        CPPUNIT_ASSERT_EQUAL(writes, m_store.writes);
        CPPUNIT_ASSERT_EQUAL(reads, m_store.reads);
    }

    void writesDuringAReleaseAreBounded()
    {
        settle();
        m_configuration = configurationOf({"1", "2"});
        run(seconds{1});
        const auto writes = m_store.writes;
        const auto bytes = m_store.writtenBytes;
        constexpr int streams = 760;
        const auto began = m_clock.now();
        for (int n = 0; n < streams; ++n) {
            begin(0, std::to_string(n), n % 2 == 0 ? "1" : "2");
            run(Milliseconds{13});
        }
        const auto elapsed = std::chrono::duration<double>(m_clock.now() - began).count();
        const auto perSecond = static_cast<double>(m_store.writes - writes) / elapsed;
        const auto bytesPerStream = static_cast<double>(m_store.writtenBytes - bytes) / streams;
        const auto text = std::to_string(perSecond) + " writes a second, " + std::to_string(bytesPerStream) + " bytes a stream";
        CPPUNIT_ASSERT_MESSAGE(text, perSecond <= 4.1);
        CPPUNIT_ASSERT_MESSAGE(text, bytesPerStream <= 50);
        std::printf("\n%s\n", text.c_str());
    }

    void rowsThatEndedLongAgoAreRemoved()
    {
        settle();
        m_configuration = configurationOf({"1", "2"});
        run(seconds{1});
        begin(0, "a", "1");
        run(seconds{1});
        killAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, originRows());
        m_clock.advance(reach * 2);
        startHost("h1");
        expectUnknown("a");
        CPPUNIT_ASSERT(runUntil([&] { return originRows() == 0; }));
    }

    void firstStartOfTheSystemHasNoUnknownPast()
    {
        startHost("h0", WallTime{});
        run(seconds{1});
        expectOrigin("a", "1");
        killAll();
        startHost("h1");
        run(seconds{1});
        expectOrigin("b", "1");
        m_configuration = configurationOf({"1", "2"});
        expectUnknown("c");
    }

private:
    // A host that has known version 1 alone for longer than any stream may be taken up.
    void settle()
    {
        startHost("h0");
        run(seconds{1});
        m_clock.advance(reach);
        run(seconds{1});
        m_clock.advance(seconds{1});
        run(seconds{1});
        CPPUNIT_ASSERT(takeUpNow("settled"));
    }

    void startHost(const std::string &id, std::optional<WallTime> completeSince = std::nullopt)
    {
        StreamOriginDependencies dependencies{m_io->get_executor(),
                                              m_clock,
                                              m_counters,
                                              m_store.access(),
                                              m_store.feed(),
                                              [this] { return m_configuration; },
                                              [this] { return m_clock.wallNow(); },
                                              [] { return std::size_t{2}; },
                                              [] { return true; },
                                              [this]() -> asio::awaitable<bool> {
                                                  ++m_upstreamReads;
                                                  if (m_store.isAway) {
                                                      co_return false;
                                                  }
                                                  m_configuration = m_newest ? m_newest : m_configuration;
                                                  co_return true;
                                              }};
        Host host;
        host.service = std::make_shared<StreamOriginService>(std::move(dependencies), id, Incarnation{1}, completeSince);
        host.hooks = host.service->hooks();
        host.service->onUpstreamsConfirmed(m_clock.now());
        host.service->start();
        m_hosts.push_back(std::move(host));
    }

    void killAll()
    {
        for (const auto &it : m_hosts) {
            it.service->stop();
        }
        m_hosts.clear();
    }

    void begin(std::size_t host, const std::string &attempt, const SoftwareVersion &version, bool split = false)
    {
        m_hosts.at(host).hooks.began(StreamBeginning{attempt, {"text", version}, "u" + version, 0, {}, split});
    }

    std::shared_ptr<Lookup> takeUp(const std::string &resumes, std::size_t host, bool split = false)
    {
        auto lookup = std::make_shared<Lookup>();
        const StreamTakeUp takeUp{"later", resumes, "text", split, timeout};
        asio::co_spawn(
            *m_io,
            [lookup, takeUp, find = m_hosts.at(host).hooks.find]() -> asio::awaitable<void> {
                auto search = find(takeUp);
                lookup->origin = co_await std::move(search);
                lookup->answered = true;
            },
            asio::detached);
        return lookup;
    }
    std::optional<StreamOrigin> find(const std::string &resumes, bool split = false)
    {
        const auto lookup = takeUp(resumes, 0, split);
        CPPUNIT_ASSERT(runUntil([&] { return lookup->answered; }));
        return lookup->origin;
    }
    // Without a read of the rows of streams and versions.
    bool takeUpNow(const std::string &resumes)
    {
        const auto reads = m_store.reads;
        const bool found = find(resumes).has_value();
        return found && m_store.reads == reads;
    }
    void expectOrigin(const std::string &resumes, const SoftwareVersion &version)
    {
        const auto origin = find(resumes);
        CPPUNIT_ASSERT_MESSAGE(resumes, origin.has_value());
        CPPUNIT_ASSERT_EQUAL(version, origin->version);
    }
    void expectUnknown(const std::string &resumes)
    {
        CPPUNIT_ASSERT_MESSAGE(resumes, !find(resumes));
    }

    [[nodiscard]] std::size_t originRows() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_store.rows, [](const auto &it) { return it.first.table == "stream_origins"; }));
    }

    // Both clocks advance; the confirmations of hosts in touch go on.
    void step()
    {
        constexpr Milliseconds length{10};
        constexpr Milliseconds pause{5};
        m_clock.advance(length);
        for (const auto &it : m_hosts) {
            if (!it.isCut) {
                it.service->onUpstreamsConfirmed(m_clock.now());
            }
        }
        m_io->run_for(pause);
    }
    void run(Milliseconds time)
    {
        for (const auto end = m_clock.now() + time; m_clock.now() < end;) {
            step();
        }
    }
    template <typename Predicate>
    bool runUntil(Predicate &&predicate)
    {
        constexpr Milliseconds limit{10'000};
        for (const auto end = m_clock.now() + limit; !predicate() && m_clock.now() < end;) {
            step();
        }
        return predicate();
    }

    std::unique_ptr<asio::io_context> m_io;
    ManualClock m_clock;
    Counters m_counters;
    Store m_store;
    // In force at the hosts.
    std::shared_ptr<const Configuration> m_configuration;
    // In the store; null if the hosts have it.
    std::shared_ptr<const Configuration> m_newest;
    int m_upstreamReads{0};
    std::vector<Host> m_hosts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginServiceTest);

} // namespace guavafield
