// Tests of the host that reads the tables for the others and of what happens without it.
#include "directory_fixture.hpp"

namespace guavafield {

using test::Host;
using test::Store;

class DirectoryServiceTest : public test::DirectoryFixture
{
    CPPUNIT_TEST_SUITE(DirectoryServiceTest);
    CPPUNIT_TEST(oneHostReadsForAll);
    CPPUNIT_TEST(cutOffHostFollowsItsPeers);
    CPPUNIT_TEST(silentReaderIsReplaced);
    CPPUNIT_TEST(historyThatIsGoneIsReadAgain);
    CPPUNIT_TEST(hostsThatAgreeAskForNothing);
    CPPUNIT_TEST(hostWithoutThePlatformIsNoReader);
    CPPUNIT_TEST(largeFleetTriesAFailedPlatformSeldom);
    CPPUNIT_TEST(largeFleetFetchesTheDocumentFromThePeer);
    CPPUNIT_TEST(documentThatIsTooLargeForOneHostIsRead);
    CPPUNIT_TEST(changesAfterARestorationAreInForce);
    CPPUNIT_TEST(olderReadingsAreNotRepeatedWithoutPause);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against calls that grow with the number of hosts.
    void oneHostReadsForAll()
    {
        CPPUNIT_ASSERT(runUntil([&] { return std::ranges::count_if(hosts, [](const auto &it) { return it->service->reads(); }) == 1; }));
        std::vector<int> before;
        for (const auto &it : hosts) {
            before.push_back(it->calls);
        }
        store.write(DirectoryTable::Document, "config", "2", clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2); }));
        int others = 0;
        for (std::size_t n = 0; n < hosts.size(); ++n) {
            others += hosts[n]->service->reads() ? 0 : hosts[n]->calls - before[n];
        }
        CPPUNIT_ASSERT_EQUAL(0, others);
    }

    // Guards against a withdrawn key that works on at a host which the store turns away.
    void cutOffHostFollowsItsPeers()
    {
        for (const auto &it : hosts) {
            it->cut = it->service->reads();
        }
        store.write(DirectoryTable::Document, "config", "2", clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2); }));
    }

    // Guards against hosts that wait for a reader that has died.
    void silentReaderIsReplaced()
    {
        for (const auto &it : hosts) {
            if (it->service->reads()) {
                silent = it->name;
                it->cut = true;
            }
        }
        store.write(DirectoryTable::Document, "config", "2", clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2); }));
        CPPUNIT_ASSERT(runUntil([&] { return readers() == 1; }));
    }

    // Guards against changes that were made while the store forgot its history.
    void historyThatIsGoneIsReadAgain()
    {
        for (RowVersion n = 0; n < 1'500; ++n) {
            store.write(DirectoryTable::Upstreams, "u" + std::to_string(n), "x", clock.now());
        }
        store.write(DirectoryTable::Document, "config", "3", clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(3); }));
    }

    // Guards against calls without end in a large fleet whose hosts began to read at different versions.
    void hostsThatAgreeAskForNothing()
    {
        for (int n = 0; n < 5; ++n) {
            store.write(DirectoryTable::Upstreams, "u" + std::to_string(n), "x", clock.now());
        }
        Host late(*io, clock, store, "late");
        late.service->setHosts(100);
        late.service->start();
        CPPUNIT_ASSERT(runUntil([&] { return late.service->known(DirectoryTable::Document) && late.service->known(DirectoryTable::Upstreams); }));
        for (const auto &it : hosts) {
            it->service->setHosts(100);
        }
        CPPUNIT_ASSERT(runUntil([&] { return readers() == 1; }));
        int calls = 0;
        for (int n = 0; n < 60; ++n) {
            HostReport report;
            report.document = knowledgeOf(late, DirectoryTable::Document);
            report.upstreams = knowledgeOf(late, DirectoryTable::Upstreams);
            for (const auto &it : hosts) {
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

    // Guards against 195 hosts that each ask a failed platform several times a second.
    void largeFleetTriesAFailedPlatformSeldom()
    {
        for (const auto &it : hosts) {
            it->service->setHosts(195);
            it->cut = true;
        }
        CPPUNIT_ASSERT(runUntil([&] { return readers() == 0; }));
        int calls = 0;
        for (const auto &it : hosts) {
            calls -= it->calls;
        }
        const auto begin = clock.now();
        CPPUNIT_ASSERT(runUntil([&] { return clock.now() - begin > std::chrono::seconds{4}; }));
        for (const auto &it : hosts) {
            calls += it->calls;
        }
        // One call a table and host in 3 s, and those that were due at the beginning.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls", calls <= 3 * 2 * 4);
        for (const auto &it : hosts) {
            it->cut = false;
        }
        store.write(DirectoryTable::Document, "config", "2", clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2) && readers() == 1; }));
    }

    // Guards against one call to the platform a host for each change of the document.
    void largeFleetFetchesTheDocumentFromThePeer()
    {
        for (const auto &it : hosts) {
            it->service->setHosts(100);
        }
        int calls = 0;
        const auto countFollowers = [&](int sign) {
            for (const auto &it : hosts) {
                calls += it->service->reads() ? 0 : sign * it->calls;
            }
        };
        countFollowers(-1);
        for (Revision revision = 2; revision < 8; ++revision) {
            store.write(DirectoryTable::Document, "config", std::to_string(revision), clock.now());
            CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(revision); }));
        }
        countFollowers(1);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls", calls <= 3);
    }

    // Guards against a document that one host would have to send to so many others that it is in force too late.
    void documentThatIsTooLargeForOneHostIsRead()
    {
        auto &reader = readingHost();
        for (const auto &it : hosts) {
            it->service->setHosts(300);
        }
        store.write(DirectoryTable::Document, "more", std::string(100'000, 'x'), clock.now());
        store.write(DirectoryTable::Document, "config", "2", clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(2); }));
        CPPUNIT_ASSERT(reader.service->format(DirectoryTable::Document, 0).empty());
    }

    // A confirmed change was not in force after a restoration, as its version was lower than those that were lost.
    void changesAfterARestorationAreInForce()
    {
        for (int n = 2; n <= 20; ++n) {
            store.write(DirectoryTable::Document, "config", std::to_string(n), clock.now());
        }
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(20); }));
        store = Store();
        store.version = versionInEpoch(1, 0);
        store.write(DirectoryTable::Document, "config", "3", clock.now());
        runFor(Milliseconds{500});
        CPPUNIT_ASSERT(everyoneHas(20));
        store.write(DirectoryTable::Document, "config", "21", clock.now());
        CPPUNIT_ASSERT(runUntil([&] { return everyoneHas(21); }));
    }

    // Hosts that were told of a lower version than they know read whole tables without pause.
    void olderReadingsAreNotRepeatedWithoutPause()
    {
        // Two calls of each host for each table in each pause of 250 ms.
        constexpr int mostCallsInThreeSeconds = 4 * 2 * 2 * 12;
        store.version = 0;
        runFor(Milliseconds{1'000});
        const auto calls = [&] {
            int sum = 0;
            for (const auto &it : hosts) {
                sum += it->calls;
            }
            return sum;
        };
        const int before = calls();
        runFor(Milliseconds{3'000});
        CPPUNIT_ASSERT(calls() - before <= mostCallsInThreeSeconds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryServiceTest);

} // namespace guavafield
