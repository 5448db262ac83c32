// Tests of the host that reads the tables for the others and of what happens without it.
#include <guavafield/transport/fleet/directory_service.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

namespace {

namespace asio = boost::asio;

// A store with two tables, of which each host can be cut off.
struct Store
{
    std::array<TableMirror, 2> tables;
    RowVersion version{0};

    void write(DirectoryTable table, const std::string &key, const std::string &value, SteadyTime now)
    {
        ++version;
        tables[static_cast<std::size_t>(table)].apply(std::vector<MirroredRow>{{key, version, value}}, version, now);
    }
};

// One host: its service, the configuration that it has in force, and its calls.
struct Host
{
    Host(asio::io_context &io, const Clock &clock, Store &store, std::string id) : name(std::move(id))
    {
        DirectoryDependencies dependencies{io.get_executor(), clock, name, false, {}, {"op", "servers"}, {}, {}, {}, {}, {}};
        const auto indexOf = [](const std::string &table) { return table == "op" ? 0U : 1U; };
        dependencies.feed.follow = [this, &store, &clock, indexOf](std::string table, RowVersion after, Milliseconds wait) -> asio::awaitable<TableReply> {
            ++calls;
            const auto end = clock.now() + wait;
            while (true) {
                if (cut) {
                    co_return TableUnavailable{"cut"};
                }
                if (after > store.version || epochStart(after) != epochStart(store.version)) {
                    co_return TableGap{};
                }
                auto changes = store.tables[indexOf(table)].changesAfter(after);
                if (!changes->empty() || clock.now() >= end) {
                    co_return TablePage{*changes, store.version};
                }
                asio::steady_timer timer(co_await asio::this_coro::executor, Milliseconds{10});
                co_await timer.async_wait(asio::use_awaitable);
            }
        };
        dependencies.feed.readAll = [this, &store, indexOf](std::string table) -> asio::awaitable<TableReply> {
            ++calls;
            if (cut) {
                co_return TableUnavailable{"cut"};
            }
            co_return TablePage{store.tables[indexOf(table)].rows(), store.version};
        };
        dependencies.codec.documentKey = "config";
        dependencies.codec.document = [](std::string_view text) -> Result<Configuration> {
            Configuration result;
            result.revision = std::stoul(std::string(text));
            return result;
        };
        dependencies.codec.upstream = [](std::string_view, std::string_view) -> Result<UpstreamEntry> { return UpstreamEntry{}; };
        dependencies.apply = [this](const std::shared_ptr<const Configuration> &it) {
            revision = it->revision;
            ++configurations;
        };
        dependencies.confirm = [](DirectoryTable, SteadyTime) {};
        dependencies.announce = [] {};
        dependencies.fetch = [this](PeerAddress address, DirectoryTable table, RowVersion after) -> asio::awaitable<Outcome<std::string>> {
            co_return Outcome<std::string>{(*peers)[address.port]->service->format(table, after), {}};
        };
        service = std::make_shared<DirectoryService>(std::move(dependencies));
    }

    std::string name;
    bool cut{false};
    int calls{0};
    Revision revision{0};
    // How many were put in force.
    int configurations{0};
    std::vector<std::unique_ptr<Host>> *peers{nullptr};
    std::shared_ptr<DirectoryService> service;
};

} // namespace

class DirectoryServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryServiceTest);
    CPPUNIT_TEST(oneHostReadsForAll);
    CPPUNIT_TEST(cutOffHostFollowsItsPeers);
    CPPUNIT_TEST(silentReaderIsReplaced);
    CPPUNIT_TEST(historyThatIsGoneIsReadAgain);
    CPPUNIT_TEST(changesArePushedInOrder);
    CPPUNIT_TEST(hostsThatAgreeAskForNothing);
    CPPUNIT_TEST(hostWithoutThePlatformIsNoReader);
    CPPUNIT_TEST(largeFleetReadsManyChangesItself);
    CPPUNIT_TEST(hostThatKeepsUpReadsNothing);
    CPPUNIT_TEST(partsOfAPushAreAppliedTogether);
    CPPUNIT_TEST(firstPartOfAPushIsNoConfirmation);
    CPPUNIT_TEST(peersThatAreBehindDoNotHideALack);
    CPPUNIT_TEST(largeFleetTriesAFailedPlatformSeldom);
    CPPUNIT_TEST(largeFleetFetchesTheDocumentFromThePeer);
    CPPUNIT_TEST(documentThatIsTooLargeForOneHostIsRead);
    CPPUNIT_TEST(changesAfterARestorationAreInForce);
    CPPUNIT_TEST(olderReadingsAreNotRepeatedWithoutPause);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io = std::make_unique<asio::io_context>();
        m_clock.advance(std::chrono::seconds{1'000});
        m_store = Store();
        m_hosts.clear();
        m_silent.clear();
        m_store.write(DirectoryTable::Document, "config", "1", m_clock.now());
        for (int n = 0; n < 4; ++n) {
            m_hosts.push_back(std::make_unique<Host>(*m_io, m_clock, m_store, "h" + std::to_string(n)));
            m_hosts.back()->peers = &m_hosts;
        }
        for (const auto &it : m_hosts) {
            it->service->start();
        }
        CPPUNIT_ASSERT(runUntil([&] { return readers() == 1 && everyoneHas(1); }));
    }

    void tearDown() override
    {
        for (const auto &it : m_hosts) {
            it->service->stop();
        }
        m_io->stop();
    }

    // Guards against calls that grow with the number of hosts.
    void oneHostReadsForAll()
    {
        CPPUNIT_ASSERT(runUntil([&] { return std::ranges::count_if(m_hosts, [](const auto &it) { return it->service->reads(); }) == 1; }));
        std::vector<int> before;
        for (const auto &it : m_hosts) {
            before.push_back(it->calls);
        }
        m_store.write(DirectoryTable::Document, "config", "2", m_clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2); }));
        int others = 0;
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            others += m_hosts[n]->service->reads() ? 0 : m_hosts[n]->calls - before[n];
        }
        CPPUNIT_ASSERT_EQUAL(0, others);
    }

    // Guards against a withdrawn key that works on at a host which the store turns away.
    void cutOffHostFollowsItsPeers()
    {
        for (const auto &it : m_hosts) {
            it->cut = it->service->reads();
        }
        m_store.write(DirectoryTable::Document, "config", "2", m_clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2); }));
    }

    // Guards against hosts that wait for a reader that has died.
    void silentReaderIsReplaced()
    {
        for (const auto &it : m_hosts) {
            if (it->service->reads()) {
                m_silent = it->name;
                it->cut = true;
            }
        }
        m_store.write(DirectoryTable::Document, "config", "2", m_clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2); }));
        CPPUNIT_ASSERT(runUntil([&] { return readers() == 1; }));
    }

    // Guards against changes that were made while the store forgot its history.
    void historyThatIsGoneIsReadAgain()
    {
        for (RowVersion n = 0; n < 1'500; ++n) {
            m_store.write(DirectoryTable::Upstreams, "u" + std::to_string(n), "x", m_clock.now());
        }
        m_store.write(DirectoryTable::Document, "config", "3", m_clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(3); }));
    }

    // Guards against a follower that takes the second part of pushed changes without the first, and thinks itself complete.
    void changesArePushedInOrder()
    {
        const auto &reader = readingHost();
        const auto parts = pushInParts(reader);
        Host follower(*m_io, m_clock, m_store, "follower");
        follower.service->onReport(Member{}, parts[1]);
        CPPUNIT_ASSERT(!follower.service->known(DirectoryTable::Upstreams));
        const auto all = reader.service->format(DirectoryTable::Upstreams, 0);
        auto late = std::make_shared<TableMirror>();
        late->replace({}, parts.front().changesAfter, m_clock.now());
        for (const auto &part : parts) {
            CPPUNIT_ASSERT_EQUAL(late->content() == 0 ? parts.front().changesAfter : late->content(), part.changesAfter);
            late->apply(part.changes, part.upstreams->complete, m_clock.now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, late->rows().size());
        CPPUNIT_ASSERT(!all.empty());
    }

    // Guards against calls without end in a large fleet whose hosts began to read at different versions.
    void hostsThatAgreeAskForNothing()
    {
        for (int n = 0; n < 5; ++n) {
            m_store.write(DirectoryTable::Upstreams, "u" + std::to_string(n), "x", m_clock.now());
        }
        Host late(*m_io, m_clock, m_store, "late");
        late.service->setHosts(100);
        late.service->start();
        CPPUNIT_ASSERT(runUntil([&] { return late.service->known(DirectoryTable::Document) && late.service->known(DirectoryTable::Upstreams); }));
        for (const auto &it : m_hosts) {
            it->service->setHosts(100);
        }
        CPPUNIT_ASSERT(runUntil([&] { return readers() == 1; }));
        int calls = 0;
        for (int n = 0; n < 60; ++n) {
            HostReport report;
            report.document = knowledgeOf(late, DirectoryTable::Document);
            report.upstreams = knowledgeOf(late, DirectoryTable::Upstreams);
            for (const auto &it : m_hosts) {
                Member member;
                member.id = late.name;
                calls -= it->service->reads() ? 0 : it->calls;
                it->service->onReport(member, report);
                exchangeReports();
                runFor(Milliseconds{10});
                calls += it->service->reads() ? 0 : it->calls;
            }
        }
        late.service->stop();
        // One reading of each table by each host that does not read for the others.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls", calls <= 2 * 3);
    }

    // Guards against a host that cannot reach the platform and still reports at the rate of a reader.
    void hostWithoutThePlatformIsNoReader()
    {
        auto &reader = readingHost();
        reader.cut = true;
        CPPUNIT_ASSERT(runUntil([&] { return !reader.service->reads() && readers() == 1; }));
        reader.cut = false;
        CPPUNIT_ASSERT(runUntil([&] { return reader.service->reads() && readers() == 1; }));
    }

    // Guards against a reader whose link is full of the same changes for each of many hosts, so that its own calls time out.
    void largeFleetReadsManyChangesItself()
    {
        const auto &reader = readingHost();
        reader.service->setHosts(100);
        constexpr std::size_t bytesThroughRelays = 150'000;
        constexpr std::size_t rows = 100;
        for (std::size_t n = 0; n < rows; ++n) {
            m_store.write(DirectoryTable::Upstreams, "u" + std::to_string(n), std::string(bytesThroughRelays / rows, 'x'), m_clock.now());
        }
        const auto pushedRows = [&] {
            std::size_t count = 0;
            for (const auto &it : reader.service->changeReports()) {
                count += it.changes.size();
            }
            return count;
        };
        CPPUNIT_ASSERT(runUntil([&] { return pushedRows() == 0 && reader.service->knowledge(DirectoryTable::Upstreams).content == m_store.version; }));
        CPPUNIT_ASSERT(runUntil([&] {
            m_store.write(DirectoryTable::Upstreams, "u1", "y", m_clock.now());
            return pushedRows() == 1;
        }));
    }

    // Guards against hosts of a large fleet that take each pushed change and still read, because the next one is already there.
    void hostThatKeepsUpReadsNothing()
    {
        Host follower(*m_io, m_clock, m_store, "zz");
        follower.service->setHosts(100);
        follower.service->start();
        CPPUNIT_ASSERT(runUntil([&] { return follower.service->known(DirectoryTable::Document) && follower.service->known(DirectoryTable::Upstreams); }));
        Member reader;
        reader.id = readingHost().name;
        const auto tell = [&](RowVersion content) {
            HostReport report;
            report.document = knowledgeOf(follower, DirectoryTable::Document);
            report.document->age = Milliseconds{5};
            report.upstreams = TableKnowledge{content, content, Milliseconds{5}};
            follower.service->onReport(reader, report);
        };
        auto version = follower.service->knowledge(DirectoryTable::Upstreams).complete;
        tell(version);
        runFor(Milliseconds{700});
        const auto before = follower.calls;
        for (int n = 0; n < 60; ++n) {
            HostReport pushed;
            pushed.changesOnly = true;
            pushed.changesAfter = version;
            pushed.changes.push_back({"u", ++version, "x"});
            pushed.upstreams = TableKnowledge{version, version, Milliseconds{5}};
            follower.service->onReport(reader, pushed);
            tell(version + 1);
            runFor(Milliseconds{20});
        }
        CPPUNIT_ASSERT_EQUAL(version, follower.service->knowledge(DirectoryTable::Upstreams).content);
        CPPUNIT_ASSERT_EQUAL(before, follower.calls);
        follower.service->stop();
    }

    // Guards against a host that is so busy with one configuration for each part of many changes that it learns of leaving upstreams too late.
    void partsOfAPushAreAppliedTogether()
    {
        Host follower(*m_io, m_clock, m_store, "zz");
        follower.service->setHosts(100);
        follower.service->start();
        CPPUNIT_ASSERT(runUntil([&] { return follower.service->known(DirectoryTable::Document) && follower.service->known(DirectoryTable::Upstreams); }));
        const auto confirmed = follower.service->knowledge(DirectoryTable::Upstreams);
        const auto before = follower.configurations;
        auto version = confirmed.complete;
        constexpr int parts = 300;
        constexpr int partsAtOnce = 5;
        constexpr Milliseconds length{600};
        for (int n = 0; n < parts; ++n) {
            HostReport part;
            part.changesOnly = true;
            part.changesAfter = version;
            part.changes.push_back({"u" + std::to_string(n), ++version, "x"});
            part.upstreams = TableKnowledge{version, version, Milliseconds{5}};
            follower.service->onReport(Member{}, part);
            // Reports of other hosts come between the parts.
            HostReport other;
            other.document = knowledgeOf(follower, DirectoryTable::Document);
            other.upstreams = TableKnowledge{confirmed.content, confirmed.complete, Milliseconds{5}};
            follower.service->onReport(Member{}, other);
            if (n % partsAtOnce == 0) {
                runFor(length / (parts / partsAtOnce));
            }
        }
        runFor(Milliseconds{60});
        const auto configurations = follower.configurations - before;
        follower.service->stop();
        CPPUNIT_ASSERT_EQUAL(version, follower.service->knowledge(DirectoryTable::Upstreams).content);
        CPPUNIT_ASSERT(configurations > 0);
        // One in 50 ms.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(configurations) + " configurations", configurations <= (length + Milliseconds{60}) / Milliseconds{50} + 1);
    }

    // Guards against a host that uses upstreams which left seconds ago, because it got only the first parts of the changes and seems up to date.
    void firstPartOfAPushIsNoConfirmation()
    {
        const auto &reader = readingHost();
        const auto parts = pushInParts(reader);
        auto follower = m_hosts.back()->service->reads() ? m_hosts.front()->service : m_hosts.back()->service;
        m_silent = reader.name;
        runFor(Milliseconds{100});
        const auto before = follower->knowledge(DirectoryTable::Upstreams);
        HostReport part;
        part.changesOnly = true;
        part.changesAfter = before.complete;
        part.changes.push_back({"v", before.complete + 1, "x"});
        part.upstreams = TableKnowledge{before.complete + 1, before.complete + 1, parts.front().upstreams->age};
        follower->onReport(Member{}, part);
        const auto after = follower->knowledge(DirectoryTable::Upstreams);
        CPPUNIT_ASSERT_EQUAL(before.complete + 1, after.complete);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(after.age.count()) + " ms", after.age >= before.age);
        CPPUNIT_ASSERT(parts.back().upstreams->age < std::chrono::seconds{2});
    }

    // Guards against a host that lost pushed changes and does not read them, since other hosts lost them too and report what it has.
    void peersThatAreBehindDoNotHideALack()
    {
        Host follower(*m_io, m_clock, m_store, "zz");
        follower.service->setHosts(100);
        follower.service->start();
        CPPUNIT_ASSERT(runUntil([&] { return follower.service->known(DirectoryTable::Document) && follower.service->known(DirectoryTable::Upstreams); }));
        Member reader;
        reader.id = readingHost().name;
        Member peer;
        peer.id = "peer";
        const auto had = follower.service->knowledge(DirectoryTable::Upstreams).content;
        m_store.write(DirectoryTable::Upstreams, "u", "x", m_clock.now());
        for (int n = 0; n < 40 && follower.service->knowledge(DirectoryTable::Upstreams).content == had; ++n) {
            HostReport report;
            report.document = TableKnowledge{1, m_store.version, Milliseconds{5}};
            report.upstreams = TableKnowledge{m_store.version, m_store.version, Milliseconds{5}};
            follower.service->onReport(reader, report);
            report.upstreams = TableKnowledge{had, had, Milliseconds{5}};
            follower.service->onReport(peer, report);
            runFor(Milliseconds{50});
        }
        CPPUNIT_ASSERT_EQUAL(m_store.version, follower.service->knowledge(DirectoryTable::Upstreams).content);
        follower.service->stop();
    }

    // Guards against 195 hosts that each ask a failed platform several times a second.
    void largeFleetTriesAFailedPlatformSeldom()
    {
        for (const auto &it : m_hosts) {
            it->service->setHosts(195);
            it->cut = true;
        }
        CPPUNIT_ASSERT(runUntil([&] { return readers() == 0; }));
        int calls = 0;
        for (const auto &it : m_hosts) {
            calls -= it->calls;
        }
        const auto begin = m_clock.now();
        CPPUNIT_ASSERT(runUntil([&] { return m_clock.now() - begin > std::chrono::seconds{4}; }));
        for (const auto &it : m_hosts) {
            calls += it->calls;
        }
        // One call a table and host in 3 s, and those that were due at the beginning.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls", calls <= 3 * 2 * 4);
        for (const auto &it : m_hosts) {
            it->cut = false;
        }
        m_store.write(DirectoryTable::Document, "config", "2", m_clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2) && readers() == 1; }));
    }

    // Guards against one call to the platform a host for each change of the document.
    void largeFleetFetchesTheDocumentFromThePeer()
    {
        for (const auto &it : m_hosts) {
            it->service->setHosts(100);
        }
        int calls = 0;
        const auto countFollowers = [&](int sign) {
            for (const auto &it : m_hosts) {
                calls += it->service->reads() ? 0 : sign * it->calls;
            }
        };
        countFollowers(-1);
        for (Revision revision = 2; revision < 8; ++revision) {
            m_store.write(DirectoryTable::Document, "config", std::to_string(revision), m_clock.now());
            CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(revision); }));
        }
        countFollowers(1);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls", calls <= 3);
    }

    // Guards against a document that one host would have to send to so many others that it is in force too late.
    void documentThatIsTooLargeForOneHostIsRead()
    {
        auto &reader = readingHost();
        for (const auto &it : m_hosts) {
            it->service->setHosts(300);
        }
        m_store.write(DirectoryTable::Document, "more", std::string(100'000, 'x'), m_clock.now());
        m_store.write(DirectoryTable::Document, "config", "2", m_clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2); }));
        CPPUNIT_ASSERT(reader.service->format(DirectoryTable::Document, 0).empty());
    }

    // A confirmed change was not in force after a restoration, as its version was lower than those that were lost.
    void changesAfterARestorationAreInForce()
    {
        for (int n = 2; n <= 20; ++n) {
            m_store.write(DirectoryTable::Document, "config", std::to_string(n), m_clock.now());
        }
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(20); }));
        m_store = Store();
        m_store.version = versionInEpoch(1, 0);
        m_store.write(DirectoryTable::Document, "config", "3", m_clock.now());
        runFor(Milliseconds{500});
        CPPUNIT_ASSERT(everyoneHas(20));
        m_store.write(DirectoryTable::Document, "config", "21", m_clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(21); }));
    }

    // Hosts that were told of a lower version than they know read whole tables without pause.
    void olderReadingsAreNotRepeatedWithoutPause()
    {
        // Two calls of each host for each table in each pause of 250 ms.
        constexpr int mostCallsInThreeSeconds = 4 * 2 * 2 * 12;
        m_store.version = 0;
        runFor(Milliseconds{1'000});
        const auto calls = [&] {
            int sum = 0;
            for (const auto &it : m_hosts) {
                sum += it->calls;
            }
            return sum;
        };
        const int before = calls();
        runFor(Milliseconds{3'000});
        CPPUNIT_ASSERT(calls() - before <= mostCallsInThreeSeconds);
    }

private:
    // Returns the host that reads for the others.
    [[nodiscard]] Host &readingHost() const
    {
        const auto it = std::ranges::find_if(m_hosts, [](const auto &host) { return host->service->reads(); });
        CPPUNIT_ASSERT(it != m_hosts.end());
        return **it;
    }
    // Writes 20 upstreams and returns the reports in which the reader tells of them.
    std::vector<HostReport> pushInParts(const Host &reader)
    {
        for (int n = 0; n < 20; ++n) {
            m_store.write(DirectoryTable::Upstreams, "u" + std::to_string(n), std::string(200, 'x'), m_clock.now());
        }
        std::vector<HostReport> parts;
        CPPUNIT_ASSERT(runUntil([&] {
            parts = reader.service->changeReports();
            return parts.size() > 3 && parts.back().changes.back().key == "u19";
        }));
        return parts;
    }
    [[nodiscard]] std::size_t readers() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&](const auto &it) { return it->name != m_silent && it->service->reads(); }));
    }
    [[nodiscard]] bool everyoneHas(Revision revision) const
    {
        return std::ranges::all_of(m_hosts, [&](const auto &it) { return it->revision == revision || it->name == m_silent; });
    }

    // Runs the hosts, which report to each other, until a condition holds or a limit that only a failing test reaches.
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

    // The hosts' clock moves with the test and not with the machine, so that a pause of the test makes no knowledge old.
    void runFor(Milliseconds time)
    {
        constexpr Milliseconds step{10};
        for (Milliseconds spent{0}; spent < time; spent += step) {
            m_io->run_for(step);
            m_clock.advance(step);
        }
    }

    void exchangeReports()
    {
        for (std::size_t from = 0; from < m_hosts.size(); ++from) {
            if (m_hosts[from]->name == m_silent) {
                continue;
            }
            HostReport report;
            report.withoutPlatform = !m_hosts[from]->service->reachesPlatform();
            report.document = knowledgeOf(*m_hosts[from], DirectoryTable::Document);
            report.upstreams = knowledgeOf(*m_hosts[from], DirectoryTable::Upstreams);
            for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                if (to != from) {
                    Member member;
                    member.id = m_hosts[from]->name;
                    member.address.port = static_cast<std::uint16_t>(from);
                    m_hosts[to]->service->onReport(member, report);
                }
            }
        }
    }

    static std::optional<TableKnowledge> knowledgeOf(const Host &host, DirectoryTable table)
    {
        return host.service->known(table) ? std::optional(host.service->knowledge(table)) : std::nullopt;
    }

    ManualClock m_clock;
    std::unique_ptr<asio::io_context> m_io;
    Store m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::string m_silent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryServiceTest);

} // namespace guavafield
