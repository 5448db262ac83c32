// Tests of usage: invariants under random outages, lost replies and take-overs, and single cases of meter, sealer and packing.
#include "usage_harness.hpp"

#include <support/property.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

using test::CallOutcome;
using test::UsageHarness;

namespace {

CallOutcome outcomeOf(std::size_t argument)
{
    return argument % 8 == 0 ? CallOutcome::ReplyLost : argument % 8 == 1 ? CallOutcome::Delayed : CallOutcome::Served;
}

void applyEvent(UsageHarness &harness, std::uint16_t event)
{
    const auto argument = static_cast<std::size_t>(event / 32);
    const auto host = argument % UsageHarness::hosts;
    const auto sealer = argument % UsageHarness::sealers;
    switch (event % 32) {
    case 0:
    case 1:
    case 2:
        harness.count(host, argument % 5, 1 + argument % 100);
        break;
    case 3:
    case 4:
        harness.advance(Milliseconds{1'000});
        break;
    case 5:
        harness.advance(Milliseconds{16'000});
        break;
    case 6:
        harness.advance(Milliseconds{argument % 8 == 0 ? 400'000 : 5'000});
        break;
    case 7:
        harness.setOutage(argument % 5 == 0);
        break;
    case 8:
        harness.applyDelayed();
        break;
    case 9:
    case 10:
    case 11:
        harness.stepLease(sealer, outcomeOf(argument / 2));
        break;
    case 12:
    case 13:
        harness.report(sealer, outcomeOf(argument / 2));
        break;
    case 14:
    case 15:
    case 16:
    case 17:
    case 18:
    case 19:
        harness.flush(host, outcomeOf(argument / 3));
        break;
    case 20:
        for (std::size_t n = 0; n < UsageHarness::hosts; ++n) {
            harness.advance(Milliseconds{1'000});
            harness.flush(n, CallOutcome::Served);
        }
        break;
    default:
        harness.stepLease(sealer, CallOutcome::Served);
        harness.seal(sealer, outcomeOf(argument / 2));
    }
}

} // namespace

class UsageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageTest);
    CPPUNIT_TEST(randomEventsKeepInvariants);
    CPPUNIT_TEST(lateFiguresBecomeCorrections);
    CPPUNIT_TEST(figuresOlderThanADayAreDropped);
    CPPUNIT_TEST(outageKeepsOneSectionAWindow);
    CPPUNIT_TEST(packingRoundTrip);
    CPPUNIT_TEST(malformedPackedFiguresAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost, duplicated or changed figures and against two reporters, under any order of events.
    void randomEventsKeepInvariants()
    {
        std::size_t reports = 0;
        test::checkProperty(20'262, 1'000, [&] {
            const auto events = *rc::gen::container<std::vector<std::uint16_t>>(300, rc::gen::inRange<std::uint16_t>(0, 65'535));
            UsageHarness harness;
            for (const auto it : events) {
                applyEvent(harness, it);
            }
            harness.drain();
            reports += harness.reports;
            RC_ASSERT(harness.faults == std::vector<std::string>{});
        });
        CPPUNIT_ASSERT(reports > 1'000);
    }

    // Guards against figures that are lost, or billed to the window of their flush, when a window is closed before the flush.
    void lateFiguresBecomeCorrections()
    {
        UsageHarness harness;
        harness.flush(0, CallOutcome::Served);
        harness.count(0, 1, 7);
        const auto window = usageWindowAt(WallTime{std::chrono::hours{500'000}});
        static_cast<void>(harness.table.transact({"t", {}, {{sealKey(window), usageCodec().seal.encode({})}}}));
        harness.advance(std::chrono::seconds{301});
        for (int n = 0; n < 10; ++n) {
            harness.advance(Milliseconds{1'100});
            harness.flush(0, CallOutcome::Served);
        }
        CPPUNIT_ASSERT(harness.meter(0).drained());
        const auto reply = harness.table.scan({"usage", {}, {}, 10});
        const auto rows = std::get<ReadRows>(reply).rows;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
        CPPUNIT_ASSERT(usageWindowFromKey(rows[0].key.key) == window + 300);
        CPPUNIT_ASSERT_EQUAL(window, usageCodec().row.decode(rows[0].value)->sections[0].window);
    }

    // Guards against unbounded memory growth during an outage.
    void figuresOlderThanADayAreDropped()
    {
        UsageHarness harness;
        harness.flush(0, CallOutcome::Served);
        harness.setOutage(true);
        for (int n = 0; n < 400; ++n) {
            harness.count(0, 1, 1);
            harness.advance(std::chrono::seconds{300});
            harness.flush(0, CallOutcome::Served);
        }
        CPPUNIT_ASSERT(harness.meter(0).droppedSections() > 100);
        CPPUNIT_ASSERT(harness.meter(0).droppedSections() < 120);
    }

    // Guards against buffering one section per flush interval during an outage, which takes twenty times the memory.
    void outageKeepsOneSectionAWindow()
    {
        UsageHarness harness;
        harness.flush(0, CallOutcome::Served);
        harness.setOutage(true);
        std::size_t before = 0;
        for (int n = 0; n < 40; ++n) {
            harness.count(0, 1, 1);
            harness.advance(std::chrono::seconds{15});
            harness.flush(0, CallOutcome::Served);
            before = n == 20 ? harness.meter(0).bufferedBytes() : before;
        }
        CPPUNIT_ASSERT(harness.meter(0).bufferedBytes() < before + 60);
    }

    // Guards against figures that packing and unpacking change, for names of any length and with common prefixes.
    void packingRoundTrip()
    {
        test::checkProperty(20'263, 300, [](const std::map<std::string, std::tuple<std::string, std::uint64_t, std::uint64_t>> &input) {
            UsageFigures figures;
            for (const auto &[team, rest] : input) {
                figures[{team, std::get<0>(rest), team.substr(0, 1)}] = {std::get<1>(rest), std::get<2>(rest), 0};
            }
            RC_ASSERT(usageCodec().unpack(usageCodec().pack(figures)) == figures);
        });
    }

    // Guards against a crash or a wrong bill caused by a damaged row.
    void malformedPackedFiguresAreRejected()
    {
        const auto packed = usageCodec().pack({{{"team", "class", "model"}, {1, 2, 3}}, {{"team-2", "class", "model"}, {300, 2, 3}}});
        std::size_t accepted = 0;
        for (std::size_t n = 0; n < packed.size(); ++n) {
            accepted += usageCodec().unpack(packed.substr(0, n)).has_value() ? 1 : 0;
        }
        // Only text truncated between two entries is well-formed.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, accepted);
        CPPUNIT_ASSERT(!usageCodec().unpack(std::string(12, '\xff')));
        CPPUNIT_ASSERT(!usageCodec().row.decode(R"({"sections":[[1,"a"]]})"));
        CPPUNIT_ASSERT(!usageCodec().seal.decode(R"({"state":"sealed","fence":1,"id":"x"})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageTest);

} // namespace guavafield
