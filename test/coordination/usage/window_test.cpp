// Tests of request counts by billing window and of the order in which windows are sealed and reported.
#include <guavafield/coordination/usage/window_reporter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace guavafield {

class WindowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WindowTest);
    CPPUNIT_TEST(repeatedReportsAddNothing);
    CPPUNIT_TEST(countsOfAFailedHostAreKept);
    CPPUNIT_TEST(lostReportIsRepeated);
    CPPUNIT_TEST(endedWindowIsInEachReportWhileItSettles);
    CPPUNIT_TEST(newHolderGetsAllUnreportedWindowsInThreeReports);
    CPPUNIT_TEST(onlySealedFiguresAreReported);
    CPPUNIT_TEST(firstSealHolds);
    CPPUNIT_TEST(windowsOfAnEarlierHolderAreNotRepeated);
    CPPUNIT_TEST(failedReportWaitsAndIsNotForgotten);
    CPPUNIT_TEST(failedReportIsNotForgottenOnceALaterOneIsAccepted);
    CPPUNIT_TEST(windowThatIsTooOldHoldsNothingUp);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that are billed twice because a host reported its counts twice or out of order.
    void repeatedReportsAddNothing()
    {
        const std::vector<WindowCounts> early{{200, {{teamKey("a"), 2}}}};
        const std::vector<WindowCounts> late{{200, {{teamKey("a"), 5}}}};
        m_aggregator.onReport("h1/1", late);
        m_aggregator.onReport("h1/1", early);
        m_aggregator.onReport("h1/1", late);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_aggregator.totals(200, m_teams).at("a"));
    }

    // Guards against losing the counts of a host that failed, and those of its next incarnation.
    void countsOfAFailedHostAreKept()
    {
        m_aggregator.onReport("h1/1", std::vector<WindowCounts>{{200, {{teamKey("a"), 5}}}});
        m_aggregator.onReport("h1/2", std::vector<WindowCounts>{{200, {{teamKey("a"), 1}}}});
        m_aggregator.count("a", m_aggregator.endOf(200) - Milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_aggregator.totals(200, m_teams).at("a"));
    }

    // Guards against losing the last counts of a window because of one lost datagram.
    void lostReportIsRepeated()
    {
        m_aggregator.count("a", m_aggregator.endOf(200) - Milliseconds{1});
        const auto next = m_aggregator.endOf(200) + Milliseconds{100};
        bool told = false;
        for (std::uint64_t turn = 0; turn < 3; ++turn) {
            for (const auto &it : m_aggregator.ownCounts(next, turn, 0)) {
                told = told || it.window == 200;
            }
        }
        CPPUNIT_ASSERT(told);
    }

    // Guards against sealing a window without the last counts of hosts that report only once during the settling time.
    void endedWindowIsInEachReportWhileItSettles()
    {
        m_aggregator.count("a", m_aggregator.endOf(200) - Milliseconds{1});
        const auto settleTime = WindowReporterSettings{}.settleTime;
        for (std::uint64_t turn = 0; turn < 6; ++turn) {
            for (const auto after : {Milliseconds{0}, settleTime / 2, settleTime - Milliseconds{1}}) {
                const auto counts = m_aggregator.ownCounts(m_aggregator.endOf(200) + after, turn, 0);
                CPPUNIT_ASSERT(std::ranges::any_of(counts, [](const auto &it) { return it.window == 200; }));
            }
        }
    }

    // Guards against a new holder of the duties that seals windows without the counts that went to its predecessor only.
    void newHolderGetsAllUnreportedWindowsInThreeReports()
    {
        for (const BillingWindow window : {198U, 199U, 200U}) {
            m_aggregator.count("a", m_aggregator.endOf(window) - Milliseconds{1});
        }
        for (const auto after : {Milliseconds{100}, Milliseconds{4'000}}) {
            std::set<BillingWindow> told;
            for (std::uint64_t turn = 0; turn < 3; ++turn) {
                for (const auto &it : m_aggregator.ownCounts(m_aggregator.endOf(200) + after, turn, 197)) {
                    told.insert(it.window);
                }
            }
            CPPUNIT_ASSERT(told.contains(198) && told.contains(199) && told.contains(200));
        }
        // Reported windows are of no use to anyone.
        for (std::uint64_t turn = 0; turn < 3; ++turn) {
            const auto counts = m_aggregator.ownCounts(m_aggregator.endOf(200) + Milliseconds{4'000}, turn, 200);
            CPPUNIT_ASSERT(std::ranges::none_of(counts, [](const auto &it) { return it.window < 201; }));
        }
    }

    // Guards against reporting a window twice with different figures.
    void onlySealedFiguresAreReported()
    {
        m_aggregator.count("a", m_aggregator.endOf(200) - Milliseconds{1});
        const auto now = m_aggregator.endOf(200) + std::chrono::seconds{3};
        CPPUNIT_ASSERT(!m_reporter.due(m_aggregator, m_aggregator.endOf(200)).has_value());
        CPPUNIT_ASSERT(!m_reporter.due(m_aggregator, now)->sealed.has_value());
        m_reporter.onSealed(200, {{"a", 1}});
        m_aggregator.count("a", m_aggregator.endOf(200) - Milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_reporter.due(m_aggregator, now)->sealed->at("a"));
        m_reporter.onReported(200);
        CPPUNIT_ASSERT(!m_reporter.due(m_aggregator, now).has_value());
    }

    // Guards against a second seal that replaces the figures of the first.
    void firstSealHolds()
    {
        m_aggregator.count("a", m_aggregator.endOf(200) - Milliseconds{1});
        m_reporter.onSealed(200, {{"a", 1}});
        m_reporter.onSealed(200, {{"a", 2}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_reporter.due(m_aggregator, m_aggregator.endOf(200) + std::chrono::seconds{3})->sealed->at("a"));
    }

    // Guards against a new holder that spends its first seconds on windows that were already reported.
    void windowsOfAnEarlierHolderAreNotRepeated()
    {
        m_aggregator.onReport("h1/1", std::vector<WindowCounts>{{200, {{teamKey("a"), 5}}}, {202, {{teamKey("a"), 1}}}});
        m_reporter.onReportedUpTo(201);
        CPPUNIT_ASSERT_EQUAL(BillingWindow{202}, m_reporter.due(m_aggregator, m_aggregator.endOf(202) + std::chrono::seconds{3})->window);
    }

    // Guards against abandoning a report after a lost reply, and against retrying in every step.
    void failedReportWaitsAndIsNotForgotten()
    {
        m_aggregator.count("a", m_aggregator.endOf(200) - Milliseconds{1});
        m_reporter.onSealed(200, {{"a", 1}});
        const auto now = m_aggregator.endOf(200) + std::chrono::seconds{3};
        m_reporter.onFailed(200, now);
        CPPUNIT_ASSERT(!m_reporter.due(m_aggregator, now + Milliseconds{10}).has_value());
        CPPUNIT_ASSERT_EQUAL(BillingWindow{200}, m_reporter.due(m_aggregator, now + std::chrono::seconds{1})->window);
    }

    // After an outage several windows are due, and the platform takes few calls a second.
    void failedReportIsNotForgottenOnceALaterOneIsAccepted()
    {
        const auto now = sealThree();
        m_reporter.onReported(199);
        m_reporter.onFailed(200, now);
        CPPUNIT_ASSERT_EQUAL(BillingWindow{201}, m_reporter.due(m_aggregator, now)->window);
        m_reporter.onReported(201);
        CPPUNIT_ASSERT_EQUAL(BillingWindow{199}, m_reporter.reportedUpTo());
        CPPUNIT_ASSERT_EQUAL(BillingWindow{200}, m_reporter.due(m_aggregator, now + std::chrono::seconds{1})->window);
        m_reporter.onReported(200);
        CPPUNIT_ASSERT_EQUAL(BillingWindow{201}, m_reporter.reportedUpTo());
    }

    void windowThatIsTooOldHoldsNothingUp()
    {
        const auto now = sealThree();
        m_reporter.onFailed(199, now);
        m_reporter.onReported(200);
        m_reporter.onReported(201);
        const auto later = m_aggregator.endOf(199) + WindowReporterSettings{}.maxReportAge + std::chrono::seconds{6};
        m_reporter.onSealed(202, {});
        m_reporter.onReported(202);
        CPPUNIT_ASSERT_EQUAL(BillingWindow{203}, m_reporter.due(m_aggregator, later)->window);
        m_reporter.onSealed(203, {});
        m_reporter.onReported(203);
        CPPUNIT_ASSERT_EQUAL(BillingWindow{203}, m_reporter.reportedUpTo());
    }

private:
    // Seals windows 199 to 201 and returns a time at which all of them are due.
    WallTime sealThree()
    {
        m_aggregator.count("a", m_aggregator.endOf(199) - Milliseconds{1});
        for (const BillingWindow window : {199U, 200U, 201U}) {
            m_reporter.onSealed(window, {{"a", 1}});
        }
        return m_aggregator.endOf(201) + std::chrono::seconds{3};
    }

    std::vector<TeamId> m_teams{"a", "b"};
    WindowAggregator m_aggregator{std::chrono::seconds{5}};
    WindowReporter m_reporter{WindowReporterSettings{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WindowTest);

} // namespace guavafield
