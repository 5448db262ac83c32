// Tests of the intervals at which hosts report to each other.
#include <guavafield/coordination/fleet/report_schedule.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace guavafield {

namespace {

constexpr std::size_t largeFleet = 330;
constexpr PeerAddress holderAddress{0, 7, 7'000};

// Longest time between reports that reach the holder of the duties, over a minute.
Milliseconds longestGapAtHolder(std::size_t hosts, ReportingRole role, bool holderHeard)
{
    ReportSchedule schedule;
    SteadyTime now{std::chrono::seconds{1'000}};
    auto last = now;
    Milliseconds longest{0};
    for (const auto end = now + std::chrono::minutes{1}; now < end; now += ReportSchedule::interval) {
        if (holderHeard) {
            schedule.onDutyHolder(holderAddress, 1, now);
        }
        if (schedule.next(hosts, role, now) != ReportReceivers::None) {
            longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(now - last));
            last = now;
        }
    }
    return longest;
}

} // namespace

class ReportScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReportScheduleTest);
    CPPUNIT_TEST(holderHearsEveryHostWhileAWindowSettles);
    CPPUNIT_TEST(holderIsHeardWithinItsLease);
    CPPUNIT_TEST(loadOfReportsIsBoundedInLargeFleets);
    CPPUNIT_TEST(smallFleetsReportAtEachInterval);
    CPPUNIT_TEST(newerHolderReplacesTheEarlierOne);
    CPPUNIT_TEST(silentHolderIsForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    // Counts that arrive later than a window settles are not billed: at 330 hosts a report to all comes every 5.4 s, a window settles in 2.5 s.
    void holderHearsEveryHostWhileAWindowSettles()
    {
        constexpr Milliseconds settleTime{2'500};
        for (const std::size_t hosts : {9U, 84U, 195U, 330U}) {
            CPPUNIT_ASSERT(2 * longestGapAtHolder(hosts, {}, true) <= settleTime);
        }
    }

    // A host that does not hear the holder for a term of the lease reads its row, all hosts of the fleet at once.
    void holderIsHeardWithinItsLease()
    {
        constexpr Milliseconds leaseTerm{2'500};
        CPPUNIT_ASSERT(2 * longestGapAtHolder(largeFleet, {false, true}, false) <= leaseTerm);
    }

    void loadOfReportsIsBoundedInLargeFleets()
    {
        ReportSchedule schedule;
        SteadyTime now{std::chrono::seconds{1'000}};
        int toAll = 0;
        for (int n = 0; n < 300; ++n) {
            toAll += schedule.next(largeFleet, {}, now) == ReportReceivers::AllHosts ? 1 : 0;
            now += ReportSchedule::interval;
        }
        // 300 intervals are a minute; each host hears 66 reports a second at most.
        CPPUNIT_ASSERT(toAll * static_cast<int>(largeFleet) <= 66 * 60);
    }

    void smallFleetsReportAtEachInterval()
    {
        ReportSchedule schedule;
        const SteadyTime now{std::chrono::seconds{1'000}};
        for (int n = 0; n < 5; ++n) {
            CPPUNIT_ASSERT(schedule.next(9, {}, now) == ReportReceivers::AllHosts);
        }
    }

    void newerHolderReplacesTheEarlierOne()
    {
        ReportSchedule schedule;
        const SteadyTime now{std::chrono::seconds{1'000}};
        constexpr PeerAddress earlier{0, 8, 7'000};
        schedule.onDutyHolder(holderAddress, 5, now);
        schedule.onDutyHolder(earlier, 4, now);
        CPPUNIT_ASSERT(schedule.dutyHolder(now) == holderAddress);
        schedule.onDutyHolder(earlier, 6, now);
        CPPUNIT_ASSERT(schedule.dutyHolder(now) == earlier);
    }

    void silentHolderIsForgotten()
    {
        ReportSchedule schedule;
        const SteadyTime now{std::chrono::seconds{1'000}};
        schedule.onDutyHolder(holderAddress, 5, now);
        CPPUNIT_ASSERT(schedule.dutyHolder(now + std::chrono::seconds{1}).has_value());
        CPPUNIT_ASSERT(!schedule.dutyHolder(now + std::chrono::seconds{4}).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportScheduleTest);

} // namespace guavafield
