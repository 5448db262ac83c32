// Tests of at-most-once calls: single cases, and invariants under random crashes, lost replies and duplicates.
#include "once_harness.hpp"

#include <support/property.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

using test::OnceHarness;

namespace {

ResultCode codeOf(const test::OnceRequest &request)
{
    return request.reply ? request.reply->code : ResultCode::PlatformOutcomeUnknown;
}

void applyEvent(OnceHarness &harness, std::uint16_t event)
{
    const std::size_t host = event % 2;
    const auto argument = static_cast<std::size_t>(event / 64);
    switch ((event / 2) % 32) {
    case 0:
    case 1:
    case 2:
    case 3:
        harness.begin(host, "key-" + std::to_string(argument % 4));
        break;
    case 4:
    case 5:
        harness.advance(Milliseconds{5});
        break;
    case 6:
        harness.advance(Milliseconds{1 + 37 * (argument % 64)});
        break;
    case 7:
        harness.serve(host, true);
        break;
    case 8:
        harness.timeOut(host);
        break;
    case 9:
        harness.applyDelayed();
        break;
    case 10:
        harness.run(host, OnceHarness::Upstream::LosesAnswer);
        break;
    case 11:
        harness.run(host, OnceHarness::Upstream::Unreachable);
        break;
    case 12:
        harness.table.setOutage(argument % 4 == 0);
        break;
    case 13:
        argument % 4 == 0 ? harness.table.staleReads() : harness.table.freshReads();
        break;
    case 14:
        if (argument % 16 == 0) {
            harness.die(host);
        }
        break;
    case 15:
    case 16:
    case 17:
        harness.run(host, OnceHarness::Upstream::Answers);
        break;
    case 18:
        harness.runUntilIdle(host);
        break;
    case 19:
    case 20:
    case 21:
    case 22:
    case 23:
        harness.serve(host, false);
        break;
    default:
        harness.step(host);
    }
}

} // namespace

class OnceCallTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OnceCallTrackerTest);
    CPPUNIT_TEST(randomEventsKeepInvariants);
    CPPUNIT_TEST(batchesInserts);
    CPPUNIT_TEST(duplicateOfAnotherHostReplays);
    CPPUNIT_TEST(conflictDoesNotFailTheBatch);
    CPPUNIT_TEST(keyWithAnotherBodyIsRefused);
    CPPUNIT_TEST(outageRefusesAtOnce);
    CPPUNIT_TEST(tombstoneWinsOverALateInsert);
    CPPUNIT_TEST(pausedHostLeavesOutcomeUnknown);
    CPPUNIT_TEST(recordExpires);
    CPPUNIT_TEST(malformedRowsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that runs twice, a wrong "not run", another call's answer and a missing answer, under any order of events.
    void randomEventsKeepInvariants()
    {
        std::size_t answered = 0;
        test::checkProperty(20'261, 3'000, [&] {
            const auto events = *rc::gen::container<std::vector<std::uint16_t>>(160, rc::gen::inRange<std::uint16_t>(0, 65'535));
            OnceHarness harness(2);
            for (const auto it : events) {
                applyEvent(harness, it);
            }
            harness.drain();
            answered += static_cast<std::size_t>(std::ranges::count(harness.requests, ResultCode::Ok, codeOf));
            RC_ASSERT(harness.faults == std::vector<std::string>{});
        });
        CPPUNIT_ASSERT(answered > 3'000);
    }

    // Guards against one transaction per call.
    void batchesInserts()
    {
        OnceHarness harness(1);
        for (int n = 0; n < 20; ++n) {
            harness.begin(0, "key-" + std::to_string(n));
        }
        harness.step(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.table.counts().transactions);
        harness.advance(Milliseconds{5});
        harness.runUntilIdle(0);
        harness.advance(Milliseconds{5});
        harness.runUntilIdle(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.table.counts().transactions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, harness.keyRuns.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.tracker(0).size());
    }

    // Guards against a duplicate that runs, or that gets no answer although one is recorded.
    void duplicateOfAnotherHostReplays()
    {
        OnceHarness harness(2);
        harness.begin(0, "key");
        harness.drain();
        harness.begin(1, "key");
        harness.drain();
        CPPUNIT_ASSERT(codeOf(harness.requests[1]) == ResultCode::Ok);
        CPPUNIT_ASSERT(harness.requests[1].reply->replayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.keyRuns["key"]);
    }

    // Guards against a batch in which one duplicate makes unrelated calls fail.
    void conflictDoesNotFailTheBatch()
    {
        OnceHarness harness(2);
        harness.begin(0, "key-1");
        harness.drain();
        for (int n = 0; n < 3; ++n) {
            harness.begin(1, "key-" + std::to_string(n));
        }
        harness.drain();
        CPPUNIT_ASSERT(std::ranges::all_of(harness.requests, [](const auto &it) { return codeOf(it) == ResultCode::Ok; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.keyRuns.size());
    }

    // Guards against replaying the answer to a different body under the same key, on the same host and on another one.
    void keyWithAnotherBodyIsRefused()
    {
        OnceHarness harness(2);
        harness.begin(0, "key", 1);
        harness.begin(0, "key", 2);
        harness.drain();
        harness.begin(1, "key", 2);
        harness.drain();
        CPPUNIT_ASSERT(codeOf(harness.requests[0]) == ResultCode::Ok);
        CPPUNIT_ASSERT(codeOf(harness.requests[1]) == ResultCode::OnceKeyReused);
        CPPUNIT_ASSERT(codeOf(harness.requests[2]) == ResultCode::OnceKeyReused);
    }

    // Guards against calls that wait for an unavailable store, and against refusals that continue after the outage.
    void outageRefusesAtOnce()
    {
        OnceHarness harness(1);
        harness.table.setOutage(true);
        harness.begin(0, "key-1");
        harness.advance(Milliseconds{5});
        harness.runUntilIdle(0);
        harness.begin(0, "key-2");
        harness.step(0);
        for (const auto &it : harness.requests) {
            CPPUNIT_ASSERT(codeOf(it) == ResultCode::OnceStoreUnavailable);
            CPPUNIT_ASSERT(it.reply->notRun);
        }
        harness.drain();
        harness.begin(0, "key-1");
        harness.drain();
        CPPUNIT_ASSERT(codeOf(harness.requests[2]) == ResultCode::Ok);
    }

    // Guards against reporting "not run" while an insert whose reply was lost can still take effect.
    void tombstoneWinsOverALateInsert()
    {
        OnceHarness harness(1);
        harness.begin(0, "key");
        harness.advance(Milliseconds{5});
        harness.step(0);
        harness.timeOut(0);
        harness.runUntilIdle(0);
        CPPUNIT_ASSERT(codeOf(harness.requests[0]) == ResultCode::OnceRefused);
        const auto version = harness.table.peek({"once", "team/key"}).version;
        harness.applyDelayed();
        CPPUNIT_ASSERT_EQUAL(version, harness.table.peek({"once", "team/key"}).version);
    }

    // Guards against a duplicate that runs a call whose host is paused between insert and send.
    void pausedHostLeavesOutcomeUnknown()
    {
        OnceHarness harness(2);
        harness.begin(0, "key");
        harness.advance(Milliseconds{5});
        harness.step(0);
        harness.serve(0, false);
        harness.step(0);
        harness.begin(1, "key");
        for (int n = 0; n < 60; ++n) {
            harness.advance(Milliseconds{200});
            harness.runUntilIdle(1);
        }
        CPPUNIT_ASSERT(codeOf(harness.requests[1]) == ResultCode::OnceOutcomeUnknown);
        CPPUNIT_ASSERT(!harness.requests[1].reply->notRun);
        harness.run(0, OnceHarness::Upstream::Answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.keyRuns["key"]);
    }

    // Guards against records that never expire, and against records that expire early.
    void recordExpires()
    {
        OnceHarness harness(1);
        harness.begin(0, "key");
        harness.drain();
        harness.advance(std::chrono::hours{23});
        harness.begin(0, "key");
        harness.drain();
        CPPUNIT_ASSERT(harness.requests[1].reply->replayed);
        harness.advance(std::chrono::hours{1});
        harness.begin(0, "key");
        harness.drain();
        CPPUNIT_ASSERT(!harness.requests[2].reply->replayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.requests[2].runs);
    }

    // Guards against a malformed row that is decoded as a settled call.
    void malformedRowsAreRejected()
    {
        const auto codec = onceCodec();
        OnceRecord record{OnceState::Settled, "id", {}, "host", OnceAnswer{200, {{"Content-Type", "text/plain"}}, "body"}, WallTime{Milliseconds{5}}};
        const auto text = codec.encode(record);
        CPPUNIT_ASSERT(codec.decode(text)->answer == record.answer);
        for (std::size_t n = 0; n < text.size(); ++n) {
            static_cast<void>(codec.decode(std::string_view(text).substr(0, n)));
        }
        CPPUNIT_ASSERT(!codec.decode(R"({"state":"settled","id":"x","body_digest":"00","host":"h"})"));
        CPPUNIT_ASSERT(!codec.decode("[]"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OnceCallTrackerTest);

} // namespace guavafield
