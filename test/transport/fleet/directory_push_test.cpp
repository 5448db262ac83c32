// Tests of changes that the reading host sends to the others.
#include "directory_fixture.hpp"

#include <iostream>

namespace guavafield {

using test::Host;

class DirectoryPushTest : public test::DirectoryFixture
{
    CPPUNIT_TEST_SUITE(DirectoryPushTest);
    CPPUNIT_TEST(changesArePushedInOrder);
    CPPUNIT_TEST(largeFleetReadsManyChangesItself);
    CPPUNIT_TEST(hostThatKeepsUpReadsNothing);
    CPPUNIT_TEST(partsOfAPushAreAppliedTogether);
    CPPUNIT_TEST(firstPartOfAPushIsNoConfirmation);
    CPPUNIT_TEST(peersThatAreBehindDoNotHideALack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a follower that takes the second part of pushed changes without the first, and thinks itself complete.
    void changesArePushedInOrder()
    {
        const auto &reader = readingHost();
        const auto parts = pushInParts(reader);
        Host follower(*io, clock, store, "follower");
        follower.service->onReport(Member{}, parts[1]);
        CPPUNIT_ASSERT(!follower.service->known(DirectoryTable::Upstreams));
        const auto all = reader.service->format(DirectoryTable::Upstreams, 0);
        auto late = std::make_shared<TableMirror>();
        late->replace({}, parts.front().changesAfter, clock.now());
        for (const auto &part : parts) {
            CPPUNIT_ASSERT_EQUAL(late->content() == 0 ? parts.front().changesAfter : late->content(), part.changesAfter);
            late->apply(part.changes, part.upstreams->complete, clock.now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, late->rows().size());
        CPPUNIT_ASSERT(!all.empty());
    }

    // Guards against a reader whose link is full of the same changes for each of many hosts, so that its own calls time out.
    void largeFleetReadsManyChangesItself()
    {
        const auto &reader = readingHost();
        reader.service->setHosts(100);
        constexpr std::size_t bytesThroughRelays = 150'000;
        constexpr std::size_t rows = 100;
        for (std::size_t n = 0; n < rows; ++n) {
            store.write(DirectoryTable::Upstreams, "u" + std::to_string(n), std::string(bytesThroughRelays / rows, 'x'), clock.now());
        }
        const auto pushedRows = [&] {
            std::size_t count = 0;
            for (const auto &it : reader.service->changeReports()) {
                count += it.changes.size();
            }
            return count;
        };
        CPPUNIT_ASSERT(runUntil([&] { return pushedRows() == 0 && reader.service->knowledge(DirectoryTable::Upstreams).content == store.version; }));
        CPPUNIT_ASSERT(runUntil([&] {
            store.write(DirectoryTable::Upstreams, "u1", "y", clock.now());
            return pushedRows() == 1;
        }));
    }

    // Guards against hosts of a large fleet that take each pushed change and still read, because the next one is already there.
    void hostThatKeepsUpReadsNothing()
    {
        Host follower(*io, clock, store, "zz");
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
        Host follower(*io, clock, store, "zz");
        follower.service->setHosts(100);
        follower.service->start();
        CPPUNIT_ASSERT(runUntil([&] { return follower.service->known(DirectoryTable::Document) && follower.service->known(DirectoryTable::Upstreams); }));
        const auto confirmed = follower.service->knowledge(DirectoryTable::Upstreams);
        const auto before = follower.configurations;
        auto version = confirmed.complete;
        constexpr int parts = 300;
        constexpr int partsAtOnce = 5;
        constexpr Milliseconds length{600};
        const auto began = std::chrono::steady_clock::now();
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
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - began);
        follower.service->stop();
        CPPUNIT_ASSERT_EQUAL(version, follower.service->knowledge(DirectoryTable::Upstreams).content);
        CPPUNIT_ASSERT(configurations > 0);
        // One in 50 ms of the time of the timers, which a busy machine stretches.
        const auto figures = std::to_string(configurations) + " configurations in " + std::to_string(elapsed.count()) + " ms";
        std::cout << " " << figures << std::flush;
        CPPUNIT_ASSERT_MESSAGE(figures, configurations <= elapsed / Milliseconds{50} + 1);
    }

    // Guards against a host that uses upstreams which left seconds ago, because it got only the first parts of the changes and seems up to date.
    void firstPartOfAPushIsNoConfirmation()
    {
        const auto &reader = readingHost();
        const auto parts = pushInParts(reader);
        auto follower = hosts.back()->service->reads() ? hosts.front()->service : hosts.back()->service;
        silent = reader.name;
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
        Host follower(*io, clock, store, "zz");
        follower.service->setHosts(100);
        follower.service->start();
        CPPUNIT_ASSERT(runUntil([&] { return follower.service->known(DirectoryTable::Document) && follower.service->known(DirectoryTable::Upstreams); }));
        Member reader;
        reader.id = readingHost().name;
        Member peer;
        peer.id = "peer";
        const auto had = follower.service->knowledge(DirectoryTable::Upstreams).content;
        store.write(DirectoryTable::Upstreams, "u", "x", clock.now());
        for (int n = 0; n < 40 && follower.service->knowledge(DirectoryTable::Upstreams).content == had; ++n) {
            HostReport report;
            report.document = TableKnowledge{1, store.version, Milliseconds{5}};
            report.upstreams = TableKnowledge{store.version, store.version, Milliseconds{5}};
            follower.service->onReport(reader, report);
            report.upstreams = TableKnowledge{had, had, Milliseconds{5}};
            follower.service->onReport(peer, report);
            runFor(Milliseconds{50});
        }
        CPPUNIT_ASSERT_EQUAL(store.version, follower.service->knowledge(DirectoryTable::Upstreams).content);
        follower.service->stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryPushTest);

} // namespace guavafield
