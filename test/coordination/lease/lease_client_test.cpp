// Tests of single rules of LeaseClient: recovery of lost answers, the three ways off the list, and the order of candidates.
#include "lease_harness.hpp"

#include <guavafield/coordination/lease/candidate_rank.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace guavafield {

using test::LeaseHarness;

class LeaseClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseClientTest);
    CPPUNIT_TEST(lostReplyIsRecoveredByARead);
    CPPUNIT_TEST(validityCountsFromTheStartOfTheRequest);
    CPPUNIT_TEST(driftingClocksDoNotOverlap);
    CPPUNIT_TEST(resumedHolderReleasesBeforeAnythingElse);
    CPPUNIT_TEST(goneHostIsRemovedFromUnreleased);
    CPPUNIT_TEST(operatorConfirmationRemovesUnreleased);
    CPPUNIT_TEST(gracefulStopHandsOverAtOnce);
    CPPUNIT_TEST(announcedHolderIsNotPolled);
    CPPUNIT_TEST(silentHolderIsReplaced);
    CPPUNIT_TEST(announcedReleaseIsTakenOverAtOnce);
    CPPUNIT_TEST(malformedRowIsNotTakenOver);
    CPPUNIT_TEST(ranksAreDistinct);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a holder that does not know that its take-over took effect.
    void lostReplyIsRecoveredByARead()
    {
        LeaseHarness harness({1.0});
        harness.table.loseReplies(1);
        harness.runUntilIdle(0);
        CPPUNIT_ASSERT(harness.client(0).fence(harness.now(0)) == Fence{1});
    }

    // Guards against a belief that counts from the arrival of an answer instead of from the start of the request.
    void validityCountsFromTheStartOfTheRequest()
    {
        LeaseHarness harness({1.0});
        harness.step(0);
        harness.apply(0);
        harness.deliver(0);
        harness.apply(0);
        harness.advance(Milliseconds{9'000});
        harness.deliver(0);
        CPPUNIT_ASSERT(harness.client(0).fence(harness.now(0)).has_value());
        harness.advance(Milliseconds{500});
        CPPUNIT_ASSERT(!harness.client(0).fence(harness.now(0)).has_value());
    }

    // Guards against a challenger with a fast clock that takes over while a holder with a slow clock still believes.
    void driftingClocksDoNotOverlap()
    {
        LeaseHarness harness({0.951, 1.049});
        harness.runUntilIdle(0);
        harness.runUntilIdle(1);
        for (int n = 0; n < 300; ++n) {
            harness.advance(Milliseconds{50});
            harness.runUntilIdle(1);
        }
        CPPUNIT_ASSERT(harness.client(1).fence(harness.now(1)) == Fence{2});
        CPPUNIT_ASSERT(harness.faults.empty());
    }

    // Guards against a superseded holder that keeps its successor from ordering, and against one that releases with a send in progress.
    void resumedHolderReleasesBeforeAnythingElse()
    {
        LeaseHarness harness({1.0, 1.0});
        pauseAndTakeOver(harness);
        CPPUNIT_ASSERT(!harness.client(1).mayOrderWithoutFencing(harness.now(1)));
        harness.runUntilIdle(0);
        harness.advance(Milliseconds{3'100});
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(!harness.client(1).mayOrderWithoutFencing(harness.now(1)));
        harness.send(0);
        harness.runUntilIdle(0);
        harness.advance(Milliseconds{3'100});
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(harness.client(1).mayOrderWithoutFencing(harness.now(1)));
        CPPUNIT_ASSERT(harness.client(1).fence(harness.now(1)) == Fence{2});
    }

    // Guards against orders that wait for ever for a host that no longer exists.
    void goneHostIsRemovedFromUnreleased()
    {
        LeaseHarness harness({1.0, 1.0});
        pauseAndTakeOver(harness);
        harness.die(0);
        harness.advance(Milliseconds{1'100});
        harness.runUntilIdle(1);
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(harness.client(1).mayOrderWithoutFencing(harness.now(1)));
    }

    // Guards against an operator's confirmation that has no effect, or one for another life of the host that has.
    void operatorConfirmationRemovesUnreleased()
    {
        LeaseHarness harness({1.0, 1.0});
        pauseAndTakeOver(harness);
        harness.client(1).confirmGone({"host-0", 2});
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(!harness.client(1).mayOrderWithoutFencing(harness.now(1)));
        harness.client(1).confirmGone(LeaseHarness::holder(0));
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(harness.client(1).mayOrderWithoutFencing(harness.now(1)));
    }

    // Guards against a planned stop that costs a whole term.
    void gracefulStopHandsOverAtOnce()
    {
        LeaseHarness harness({1.0, 1.0});
        harness.runUntilIdle(0);
        harness.runUntilIdle(1);
        harness.stop(0);
        harness.runUntilIdle(0);
        CPPUNIT_ASSERT(harness.client(0).stopped());
        harness.advance(Milliseconds{3'600});
        harness.runUntilIdle(1);
        harness.advance(Milliseconds{600});
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(harness.client(1).mayOrderWithoutFencing(harness.now(1)));
    }

    // Guards against candidates whose readings of the row grow with the number of hosts.
    void announcedHolderIsNotPolled()
    {
        LeaseHarness harness({1.0, 1.0});
        harness.runUntilIdle(0);
        harness.runUntilIdle(1);
        for (int n = 0; n < 60; ++n) {
            harness.advance(Milliseconds{1'000});
            harness.runUntilIdle(0);
            harness.client(1).onHolderAnnounced("host-0", *harness.client(0).fence(harness.now(0)), harness.now(1));
            CPPUNIT_ASSERT(harness.client(1).step(harness.now(1)).empty());
        }
    }

    // Guards against a lease that nobody takes after its holder, or a host that only claimed to hold it, has gone silent.
    void silentHolderIsReplaced()
    {
        LeaseHarness harness({1.0, 1.0});
        harness.runUntilIdle(0);
        harness.client(1).onHolderAnnounced("host-0", 1, harness.now(1));
        for (int n = 0; n < 24; ++n) {
            harness.advance(Milliseconds{1'000});
            harness.runUntilIdle(1);
        }
        CPPUNIT_ASSERT(harness.client(1).fence(harness.now(1)) == Fence{2});
        CPPUNIT_ASSERT(harness.faults.empty());
    }

    // Guards against a planned stop that costs the others the time for which they trust in what they heard.
    void announcedReleaseIsTakenOverAtOnce()
    {
        LeaseHarness harness({1.0, 1.0});
        harness.runUntilIdle(0);
        harness.runUntilIdle(1);
        harness.client(1).onHolderAnnounced("host-0", 1, harness.now(1));
        harness.stop(0);
        harness.runUntilIdle(0);
        harness.client(1).onNonHolderAnnounced("host-7");
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(!harness.client(1).fence(harness.now(1)));
        harness.client(1).onNonHolderAnnounced("host-0");
        harness.advance(Milliseconds{600});
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(harness.client(1).fence(harness.now(1)) == Fence{2});
    }

    // Guards against overwriting a row that this version cannot read.
    void malformedRowIsNotTakenOver()
    {
        LeaseHarness harness({1.0});
        const RowKey key{"lease", "orders/x"};
        static_cast<void>(harness.table.transact({"t", {}, {{key, R"({"holder":7})"}}}));
        for (int n = 0; n < 40; ++n) {
            harness.runUntilIdle(0);
            harness.advance(Milliseconds{1'000});
        }
        CPPUNIT_ASSERT_EQUAL(RowVersion{1}, harness.table.peek(key).version);
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
    static void pauseAndTakeOver(LeaseHarness &harness)
    {
        harness.runUntilIdle(0);
        harness.check(0, SendRule::SoleHolder);
        harness.runUntilIdle(1);
        harness.advance(Milliseconds{12'000});
        harness.runUntilIdle(1);
        CPPUNIT_ASSERT(harness.client(1).fence(harness.now(1)) == Fence{2});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseClientTest);

} // namespace guavafield
