// Tests of LeaseClient: recovery of lost replies, removal of unreleased holders, announcements and the order of candidates.
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
    CPPUNIT_TEST(candidateFarDownWaitsForTheHolderToBeHeard);
    CPPUNIT_TEST(candidateBacksOffFromAFailedService);
    CPPUNIT_TEST(holderThatLostItsLeaseIsReplacedAtOnce);
    CPPUNIT_TEST(fenceRisesThoughTheTableCameBackOlder);
    CPPUNIT_TEST(holderOfALostRecordGoesOnUnderANewFence);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a holder that does not detect that its take-over succeeded when the reply was lost.
    void lostReplyIsRecoveredByARead()
    {
        LeaseHarness harness({1.0});
        harness.table.loseReplies(1);
        harness.runUntilIdle(0);
        CPPUNIT_ASSERT(harness.client(0).fence(harness.now(0)) == Fence{1});
    }

    // Guards against a lease whose validity is counted from the arrival of the reply instead of from the start of the request.
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

    // Guards against a challenger with a fast clock that takes over while a holder with a slow clock still considers the lease valid.
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

    // Guards against a superseded holder that never releases and so blocks its successor, and against one that releases during a send.
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

    // Guards against orders that are blocked for ever by a host that no longer exists.
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

    // Guards against an operator's confirmation that has no effect, and against one that affects another incarnation of the host.
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

    // Guards against a graceful stop after which the successor waits a full lease term.
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

    // Guards against reads of the row whose number grows with the number of hosts.
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

    // Guards against a lease that nobody takes over after its holder, or a host that wrongly announced itself, stops announcing.
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

    // Guards against a graceful stop after which the candidates wait until the last announcement expires.
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

    // Guards against candidates that try to acquire the lease at the same time.
    void ranksAreDistinct()
    {
        const std::vector<HostId> hosts{"a", "b", "c", "d", "e"};
        std::set<std::uint32_t> ranks;
        for (const auto &it : hosts) {
            ranks.insert(candidateRank("usage", it, hosts));
        }
        CPPUNIT_ASSERT_EQUAL(hosts.size(), ranks.size());
    }

    // Guards against a read of the row by every host of a large fleet that starts at once.
    void candidateFarDownWaitsForTheHolderToBeHeard()
    {
        LeaseClient client(settings(), leaseCodec());
        client.setRank(100);
        SteadyTime now{std::chrono::seconds{1'000}};
        CPPUNIT_ASSERT(client.step(now).empty());
        client.onHolderAnnounced("other", 1, now + Milliseconds{900});
        CPPUNIT_ASSERT(client.step(now + Milliseconds{1'000}).empty());
        // Nobody is heard for longer than it takes the hosts before this one to try.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.step(now + std::chrono::seconds{60}).size());
        LeaseClient first(settings(), leaseCodec());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.step(now).size());
    }

    // Guards against candidates that all try again several times a second while the service refuses them.
    void candidateBacksOffFromAFailedService()
    {
        LeaseClient client(settings(), leaseCodec());
        int calls = 0;
        SteadyTime now{std::chrono::seconds{1'000}};
        for (int n = 0; n < 200; ++n) {
            now += Milliseconds{100};
            for (const auto &action : client.step(now)) {
                if (std::holds_alternative<ReadAction>(action)) {
                    ++calls;
                    (void)client.onRead(ReadFailed{}, now);
                }
            }
        }
        // 20 s in steps of 1, 2, 4, 8 and 16 s.
        CPPUNIT_ASSERT(calls >= 4 && calls <= 6);
    }

    // Guards against duties that nobody holds for another term after their holder, cut off from the service, has said that its lease has ended.
    void holderThatLostItsLeaseIsReplacedAtOnce()
    {
        for (const bool announced : {false, true}) {
            auto machineSettings = settings();
            machineSettings.recordsUnreleased = false;
            machineSettings.term = Milliseconds{2'500};
            machineSettings.renewEvery = Milliseconds{800};
            LeaseClient client(machineSettings, leaseCodec());
            LeaseRecord record;
            record.holder = LeaseHolder{"other", 1};
            record.fence = 4;
            record.term = machineSettings.term;
            const Row row{{"lease", "duties"}, 9, leaseCodec().encode(record)};
            const SteadyTime begin{std::chrono::seconds{1'000}};
            client.onHolderAnnounced("other", 4, begin);
            std::optional<SteadyTime> takenAt;
            for (auto now = begin; !takenAt && now < begin + std::chrono::seconds{10}; now += Milliseconds{100}) {
                if (announced && now == begin + Milliseconds{500}) {
                    client.onNonHolderAnnounced("other");
                }
                auto actions = client.step(now);
                while (!actions.empty() && std::holds_alternative<ReadAction>(actions.front())) {
                    actions = client.onRead(ReadRows{{row}}, now);
                }
                if (!actions.empty() && std::holds_alternative<TransactAction>(actions.front())) {
                    takenAt = now;
                }
            }
            CPPUNIT_ASSERT(takenAt.has_value());
            CPPUNIT_ASSERT(announced ? *takenAt <= begin + Milliseconds{1'000} : *takenAt >= begin + machineSettings.term);
        }
    }

    // Guards against a fencing token that a holder has used whose record was lost, and against two holders at once.
    void fenceRisesThoughTheTableCameBackOlder()
    {
        for (const bool copyNamesSelf : {false, true}) {
            LeaseClient client(settings(), leaseCodec());
            const SteadyTime begin{std::chrono::seconds{1'000}};
            LeaseRecord record = recordOf(copyNamesSelf ? "self" : "earlier", 3);
            const auto restoredVersion = versionInEpoch(1, 9);
            std::optional<Row> written;
            SteadyTime writtenAt{};
            for (auto now = begin; !written && now < begin + std::chrono::seconds{30}; now += Milliseconds{100}) {
                auto actions = client.step(now);
                while (!actions.empty() && std::holds_alternative<ReadAction>(actions.front())) {
                    actions = client.onRead(ReadRows{{{{"lease", "duties"}, restoredVersion, leaseCodec().encode(record)}}}, now);
                }
                CPPUNIT_ASSERT(!client.fence(now).has_value());
                if (!actions.empty() && std::holds_alternative<TransactAction>(actions.front())) {
                    const auto &transaction = std::get<TransactAction>(actions.front()).transaction;
                    CPPUNIT_ASSERT_EQUAL(restoredVersion, transaction.conditions.front().version);
                    written = Row{transaction.writes.front().key, restoredVersion, *transaction.writes.front().value};
                    writtenAt = now;
                }
            }
            CPPUNIT_ASSERT(written.has_value());
            // A holder that this host does not know of may still act in its term.
            CPPUNIT_ASSERT(writtenAt - begin >= settings().term);
            CPPUNIT_ASSERT(leaseCodec().decode(written->value)->fence > epochStart(restoredVersion));
        }
    }

    // Guards against duties that wait for a term although their holder knows that it was the last one.
    void holderOfALostRecordGoesOnUnderANewFence()
    {
        LeaseClient client(settings(), leaseCodec());
        const RowKey key{"lease", "duties"};
        auto now = SteadyTime{std::chrono::seconds{1'000}};
        Row row{key, 0, {}};
        RowVersion version = 1;
        std::vector<Fence> fences;
        // The table comes back from a copy that has the record of the first take-over.
        for (int n = 0; n < 80; ++n, now += Milliseconds{100}) {
            version = n < 40 ? version : std::max(version, versionInEpoch(1, 1));
            auto actions = client.step(now);
            while (!actions.empty()) {
                const auto action = actions.back();
                actions.pop_back();
                if (std::holds_alternative<ReadAction>(action)) {
                    actions = client.onRead(ReadRows{{row}}, now);
                } else if (const auto *transact = std::get_if<TransactAction>(&action)) {
                    row = Row{key, ++version, *transact->transaction.writes.front().value};
                    actions = client.onTransaction(TransactionCommitted{{version}}, now);
                }
            }
            if (const auto fence = client.fence(now); fence && (fences.empty() || fences.back() != *fence)) {
                fences.push_back(*fence);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fences.size());
        CPPUNIT_ASSERT_EQUAL(Fence{1}, fences.front());
        CPPUNIT_ASSERT(fences.back() > versionInEpoch(1, 0));
        CPPUNIT_ASSERT(client.fence(now) == fences.back());
    }

private:
    static LeaseRecord recordOf(const std::string &host, Fence fence)
    {
        LeaseRecord record;
        record.holder = LeaseHolder{host, 1};
        record.fence = fence;
        record.term = settings().term;
        record.renewal = "r";
        return record;
    }

    static LeaseSettings settings()
    {
        LeaseSettings result;
        result.name = "duties";
        result.self = LeaseHolder{"self", 1};
        return result;
    }

    // The first host begins a send and is paused; the second host takes over.
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
