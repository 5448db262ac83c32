// Tests of single rules of LeaseClient: recovery of lost answers, the three ways off the list, and the order of candidates.
#include "lease_harness.hpp"

#include <guavafield/coordination/lease/candidate_rank.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace guavafield {

using test::LeaseWorld;

class LeaseKeeperTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseKeeperTest);
    CPPUNIT_TEST(readsBackALostAnswer);
    CPPUNIT_TEST(beliefCountsFromTheStartOfTheRequest);
    CPPUNIT_TEST(driftingClocksDoNotOverlap);
    CPPUNIT_TEST(resumedHolderReleasesBeforeAnythingElse);
    CPPUNIT_TEST(goneHostLeavesTheList);
    CPPUNIT_TEST(operatorEmptiesTheList);
    CPPUNIT_TEST(gracefulStopHandsOverAtOnce);
    CPPUNIT_TEST(heardHolderSavesReadings);
    CPPUNIT_TEST(silentHolderIsReplaced);
    CPPUNIT_TEST(releaseThatIsHeardIsFollowedAtOnce);
    CPPUNIT_TEST(malformedRowIsNotTakenOver);
    CPPUNIT_TEST(ranksAreDistinct);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a holder that does not know that its take-over took effect.
    void readsBackALostAnswer()
    {
        LeaseWorld world({1.0});
        world.table.loseReplies(1);
        world.pump(0);
        CPPUNIT_ASSERT(world.keeper(0).fence(world.now(0)) == Fence{1});
    }

    // Guards against a belief that counts from the arrival of an answer instead of from the start of the request.
    void beliefCountsFromTheStartOfTheRequest()
    {
        LeaseWorld world({1.0});
        world.step(0);
        world.apply(0);
        world.deliver(0);
        world.apply(0);
        world.advance(Milliseconds{9'000});
        world.deliver(0);
        CPPUNIT_ASSERT(world.keeper(0).fence(world.now(0)).has_value());
        world.advance(Milliseconds{500});
        CPPUNIT_ASSERT(!world.keeper(0).fence(world.now(0)).has_value());
    }

    // Guards against a challenger with a fast clock that takes over while a holder with a slow clock still believes.
    void driftingClocksDoNotOverlap()
    {
        LeaseWorld world({0.951, 1.049});
        world.pump(0);
        world.pump(1);
        for (int n = 0; n < 300; ++n) {
            world.advance(Milliseconds{50});
            world.pump(1);
        }
        CPPUNIT_ASSERT(world.keeper(1).fence(world.now(1)) == Fence{2});
        CPPUNIT_ASSERT(world.faults.empty());
    }

    // Guards against a superseded holder that keeps its successor from ordering, and against one that releases with a send in progress.
    void resumedHolderReleasesBeforeAnythingElse()
    {
        LeaseWorld world({1.0, 1.0});
        takenOver(world);
        CPPUNIT_ASSERT(!world.keeper(1).mayOrderWithoutFencing(world.now(1)));
        world.pump(0);
        world.advance(Milliseconds{3'100});
        world.pump(1);
        CPPUNIT_ASSERT(!world.keeper(1).mayOrderWithoutFencing(world.now(1)));
        world.send(0);
        world.pump(0);
        world.advance(Milliseconds{3'100});
        world.pump(1);
        CPPUNIT_ASSERT(world.keeper(1).mayOrderWithoutFencing(world.now(1)));
        CPPUNIT_ASSERT(world.keeper(1).fence(world.now(1)) == Fence{2});
    }

    // Guards against orders that wait for ever for a host that no longer exists.
    void goneHostLeavesTheList()
    {
        LeaseWorld world({1.0, 1.0});
        takenOver(world);
        world.die(0);
        world.advance(Milliseconds{1'100});
        world.pump(1);
        world.pump(1);
        CPPUNIT_ASSERT(world.keeper(1).mayOrderWithoutFencing(world.now(1)));
    }

    // Guards against an operator's confirmation that has no effect, or one for another life of the host that has.
    void operatorEmptiesTheList()
    {
        LeaseWorld world({1.0, 1.0});
        takenOver(world);
        world.keeper(1).confirmGone({"host-0", 2});
        world.pump(1);
        CPPUNIT_ASSERT(!world.keeper(1).mayOrderWithoutFencing(world.now(1)));
        world.keeper(1).confirmGone(LeaseWorld::holder(0));
        world.pump(1);
        CPPUNIT_ASSERT(world.keeper(1).mayOrderWithoutFencing(world.now(1)));
    }

    // Guards against a planned stop that costs a whole term.
    void gracefulStopHandsOverAtOnce()
    {
        LeaseWorld world({1.0, 1.0});
        world.pump(0);
        world.pump(1);
        world.stop(0);
        world.pump(0);
        CPPUNIT_ASSERT(world.keeper(0).stopped());
        world.advance(Milliseconds{3'600});
        world.pump(1);
        world.advance(Milliseconds{600});
        world.pump(1);
        CPPUNIT_ASSERT(world.keeper(1).mayOrderWithoutFencing(world.now(1)));
    }

    // Guards against candidates whose readings of the row grow with the number of hosts.
    void heardHolderSavesReadings()
    {
        LeaseWorld world({1.0, 1.0});
        world.pump(0);
        world.pump(1);
        for (int n = 0; n < 60; ++n) {
            world.advance(Milliseconds{1'000});
            world.pump(0);
            world.keeper(1).onHolderAnnounced("host-0", *world.keeper(0).fence(world.now(0)), world.now(1));
            CPPUNIT_ASSERT(world.keeper(1).step(world.now(1)).empty());
        }
    }

    // Guards against a lease that nobody takes after its holder, or a host that only claimed to hold it, has gone silent.
    void silentHolderIsReplaced()
    {
        LeaseWorld world({1.0, 1.0});
        world.pump(0);
        world.keeper(1).onHolderAnnounced("host-0", 1, world.now(1));
        for (int n = 0; n < 24; ++n) {
            world.advance(Milliseconds{1'000});
            world.pump(1);
        }
        CPPUNIT_ASSERT(world.keeper(1).fence(world.now(1)) == Fence{2});
        CPPUNIT_ASSERT(world.faults.empty());
    }

    // Guards against a planned stop that costs the others the time for which they trust in what they heard.
    void releaseThatIsHeardIsFollowedAtOnce()
    {
        LeaseWorld world({1.0, 1.0});
        world.pump(0);
        world.pump(1);
        world.keeper(1).onHolderAnnounced("host-0", 1, world.now(1));
        world.stop(0);
        world.pump(0);
        world.keeper(1).onNonHolderAnnounced("host-7");
        world.pump(1);
        CPPUNIT_ASSERT(!world.keeper(1).fence(world.now(1)));
        world.keeper(1).onNonHolderAnnounced("host-0");
        world.advance(Milliseconds{600});
        world.pump(1);
        CPPUNIT_ASSERT(world.keeper(1).fence(world.now(1)) == Fence{2});
    }

    // Guards against overwriting a row that this version cannot read.
    void malformedRowIsNotTakenOver()
    {
        LeaseWorld world({1.0});
        const RowKey key{"lease", "orders/x"};
        static_cast<void>(world.table.transact({"t", {}, {{key, R"({"holder":7})"}}}));
        for (int n = 0; n < 40; ++n) {
            world.pump(0);
            world.advance(Milliseconds{1'000});
        }
        CPPUNIT_ASSERT_EQUAL(RowVersion{1}, world.table.peek(key).version);
    }

    // Guards against candidates that try at the same moment.
    void ranksAreDistinct()
    {
        const std::vector<HostId> hosts{"a", "b", "c", "d", "e"};
        std::set<std::uint32_t> ranks;
        for (const auto &it : hosts) {
            ranks.insert(candidateRank("usage", it, hosts));
        }
        CPPUNIT_ASSERT_EQUAL(hosts.size(), ranks.size());
    }

private:
    // The first host checks a send and pauses; the second takes over.
    static void takenOver(LeaseWorld &world)
    {
        world.pump(0);
        world.check(0, SendRule::SoleHolder);
        world.pump(1);
        world.advance(Milliseconds{12'000});
        world.pump(1);
        CPPUNIT_ASSERT(world.keeper(1).fence(world.now(1)) == Fence{2});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseKeeperTest);

} // namespace guavafield
