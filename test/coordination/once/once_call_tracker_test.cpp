// Tests of at-most-once calls: single rules, and laws over random crashes, lost answers and duplicates.
#include "once_harness.hpp"

#include <support/property.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

using test::OnceWorld;

namespace {

ResultCode codeOf(const test::OnceRequest &request)
{
    return request.reply ? request.reply->code : ResultCode::PlatformOutcomeUnknown;
}

void play(OnceWorld &world, std::uint16_t event)
{
    const std::size_t host = event % 2;
    const auto argument = static_cast<std::size_t>(event / 64);
    switch ((event / 2) % 32) {
    case 0:
    case 1:
    case 2:
    case 3:
        world.begin(host, "key-" + std::to_string(argument % 4));
        break;
    case 4:
    case 5:
        world.advance(Milliseconds{5});
        break;
    case 6:
        world.advance(Milliseconds{1 + 37 * (argument % 64)});
        break;
    case 7:
        world.serve(host, true);
        break;
    case 8:
        world.timeOut(host);
        break;
    case 9:
        world.applyLate();
        break;
    case 10:
        world.run(host, OnceWorld::Upstream::LosesAnswer);
        break;
    case 11:
        world.run(host, OnceWorld::Upstream::Unreachable);
        break;
    case 12:
        world.table.setOutage(argument % 4 == 0);
        break;
    case 13:
        argument % 4 == 0 ? world.table.staleReads() : world.table.freshReads();
        break;
    case 14:
        if (argument % 16 == 0) {
            world.die(host);
        }
        break;
    case 15:
    case 16:
    case 17:
        world.run(host, OnceWorld::Upstream::Answers);
        break;
    case 18:
        world.settle(host);
        break;
    case 19:
    case 20:
    case 21:
    case 22:
    case 23:
        world.serve(host, false);
        break;
    default:
        world.step(host);
    }
}

} // namespace

class OnceLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OnceLedgerTest);
    CPPUNIT_TEST(laws);
    CPPUNIT_TEST(batchesInserts);
    CPPUNIT_TEST(duplicateOfAnotherHostReplays);
    CPPUNIT_TEST(conflictDoesNotFailTheBatch);
    CPPUNIT_TEST(keyWithAnotherBodyIsRefused);
    CPPUNIT_TEST(outageRefusesAtOnce);
    CPPUNIT_TEST(tombstoneWinsOverALateInsert);
    CPPUNIT_TEST(frozenHostLeavesUnknown);
    CPPUNIT_TEST(recordExpires);
    CPPUNIT_TEST(malformedRowsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run of a key, a wrong "not run", a foreign answer and a missing answer, under any order of events.
    void laws()
    {
        std::size_t answered = 0;
        test::checkProperty(20'261, 3'000, [&] {
            const auto events = *rc::gen::container<std::vector<std::uint16_t>>(160, rc::gen::inRange<std::uint16_t>(0, 65'535));
            OnceWorld world(2);
            for (const auto it : events) {
                play(world, it);
            }
            world.drain();
            answered += static_cast<std::size_t>(std::ranges::count(world.requests, ResultCode::Ok, codeOf));
            RC_ASSERT(world.faults == std::vector<std::string>{});
        });
        CPPUNIT_ASSERT(answered > 3'000);
    }

    // Guards against one transaction a call.
    void batchesInserts()
    {
        OnceWorld world(1);
        for (int n = 0; n < 20; ++n) {
            world.begin(0, "key-" + std::to_string(n));
        }
        world.step(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.table.counts().transactions);
        world.advance(Milliseconds{5});
        world.settle(0);
        world.advance(Milliseconds{5});
        world.settle(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.table.counts().transactions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, world.keyRuns.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.ledger(0).size());
    }

    // Guards against a duplicate that runs, or that gets no answer although one is recorded.
    void duplicateOfAnotherHostReplays()
    {
        OnceWorld world(2);
        world.begin(0, "key");
        world.drain();
        world.begin(1, "key");
        world.drain();
        CPPUNIT_ASSERT(codeOf(world.requests[1]) == ResultCode::Ok);
        CPPUNIT_ASSERT(world.requests[1].reply->replayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.keyRuns["key"]);
    }

    // Guards against a batch in which one duplicate fails calls that have nothing to do with it.
    void conflictDoesNotFailTheBatch()
    {
        OnceWorld world(2);
        world.begin(0, "key-1");
        world.drain();
        for (int n = 0; n < 3; ++n) {
            world.begin(1, "key-" + std::to_string(n));
        }
        world.drain();
        CPPUNIT_ASSERT(std::ranges::all_of(world.requests, [](const auto &it) { return codeOf(it) == ResultCode::Ok; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.keyRuns.size());
    }

    // Guards against an answer to another body than the caller sent, on the same host and on another one.
    void keyWithAnotherBodyIsRefused()
    {
        OnceWorld world(2);
        world.begin(0, "key", 1);
        world.begin(0, "key", 2);
        world.drain();
        world.begin(1, "key", 2);
        world.drain();
        CPPUNIT_ASSERT(codeOf(world.requests[0]) == ResultCode::Ok);
        CPPUNIT_ASSERT(codeOf(world.requests[1]) == ResultCode::OnceKeyReused);
        CPPUNIT_ASSERT(codeOf(world.requests[2]) == ResultCode::OnceKeyReused);
    }

    // Guards against calls that wait for a store that is down, and against refusals that outlast the outage.
    void outageRefusesAtOnce()
    {
        OnceWorld world(1);
        world.table.setOutage(true);
        world.begin(0, "key-1");
        world.advance(Milliseconds{5});
        world.settle(0);
        world.begin(0, "key-2");
        world.step(0);
        for (const auto &it : world.requests) {
            CPPUNIT_ASSERT(codeOf(it) == ResultCode::OnceStoreUnavailable);
            CPPUNIT_ASSERT(it.reply->notRun);
        }
        world.drain();
        world.begin(0, "key-1");
        world.drain();
        CPPUNIT_ASSERT(codeOf(world.requests[2]) == ResultCode::Ok);
    }

    // Guards against "not run" while the lost insert can still take effect.
    void tombstoneWinsOverALateInsert()
    {
        OnceWorld world(1);
        world.begin(0, "key");
        world.advance(Milliseconds{5});
        world.step(0);
        world.timeOut(0);
        world.settle(0);
        CPPUNIT_ASSERT(codeOf(world.requests[0]) == ResultCode::OnceRefused);
        const auto version = world.table.peek({"once", "team/key"}).version;
        world.applyLate();
        CPPUNIT_ASSERT_EQUAL(version, world.table.peek({"once", "team/key"}).version);
    }

    // Guards against a duplicate that runs a call whose host is frozen between insert and send.
    void frozenHostLeavesUnknown()
    {
        OnceWorld world(2);
        world.begin(0, "key");
        world.advance(Milliseconds{5});
        world.step(0);
        world.serve(0, false);
        world.step(0);
        world.begin(1, "key");
        for (int n = 0; n < 60; ++n) {
            world.advance(Milliseconds{200});
            world.settle(1);
        }
        CPPUNIT_ASSERT(codeOf(world.requests[1]) == ResultCode::OnceOutcomeUnknown);
        CPPUNIT_ASSERT(!world.requests[1].reply->notRun);
        world.run(0, OnceWorld::Upstream::Answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.keyRuns["key"]);
    }

    // Guards against records that are replayed for ever, and against records that expire early.
    void recordExpires()
    {
        OnceWorld world(1);
        world.begin(0, "key");
        world.drain();
        world.advance(std::chrono::hours{23});
        world.begin(0, "key");
        world.drain();
        CPPUNIT_ASSERT(world.requests[1].reply->replayed);
        world.advance(std::chrono::hours{1});
        world.begin(0, "key");
        world.drain();
        CPPUNIT_ASSERT(!world.requests[2].reply->replayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.requests[2].runs);
    }

    // Guards against a row of an unknown form that is taken for a settled call.
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

CPPUNIT_TEST_SUITE_REGISTRATION(OnceLedgerTest);

} // namespace guavafield
