// Tests of remembered notices of upstreams.
#include <guavafield/coordination/request/health/upstream_notices.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

class UpstreamNoticesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamNoticesTest);
    CPPUNIT_TEST(announcementHoldsForItsIncarnation);
    CPPUNIT_TEST(pauseHoldsForItsIncarnation);
    CPPUNIT_TEST(longestPauseCounts);
    CPPUNIT_TEST(rateLimitHoldsForItsIncarnation);
    CPPUNIT_TEST(overtakenAnswerDoesNotChangeTheRateLimit);
    CPPUNIT_TEST(oldNoticesAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void announcementHoldsForItsIncarnation()
    {
        UpstreamNotices notices;
        notices.announceDrain("u1", 7, SteadyTime{});
        CPPUNIT_ASSERT(notices.find("u1", 7).leaving);
        CPPUNIT_ASSERT(!notices.find("u1", 8).leaving);
        CPPUNIT_ASSERT(!notices.find("u2", 7).leaving);
    }

    void pauseHoldsForItsIncarnation()
    {
        const SteadyTime now{std::chrono::seconds{50}};
        UpstreamNotices notices;
        notices.requestPause("u1", 7, Milliseconds{3'000}, now);
        CPPUNIT_ASSERT(notices.find("u1", 7).pausedUntil == now + Milliseconds{3'000});
        CPPUNIT_ASSERT(!notices.find("u1", 7).leaving);
        CPPUNIT_ASSERT(notices.find("u1", 8).pausedUntil <= now);
    }

    // Guards against a late copy of a short pause that ends a longer one, and against a pause without end.
    void longestPauseCounts()
    {
        const SteadyTime now{std::chrono::seconds{50}};
        UpstreamNotices notices;
        notices.requestPause("u1", 7, Milliseconds{3'000}, now);
        notices.requestPause("u1", 7, Milliseconds{500}, now + Milliseconds{100});
        CPPUNIT_ASSERT(notices.find("u1", 7).pausedUntil == now + Milliseconds{3'000});
        notices.requestPause("u1", 7, Milliseconds::max(), now);
        CPPUNIT_ASSERT(notices.find("u1", 7).pausedUntil == now + UpstreamNotices::maxPause);
    }

    void rateLimitHoldsForItsIncarnation()
    {
        const SteadyTime now{std::chrono::seconds{50}};
        UpstreamNotices notices;
        CPPUNIT_ASSERT(notices.limitRate("u1", 7, 1.5, now, now));
        CPPUNIT_ASSERT(!notices.limitRate("u1", 7, 1.5, now + Milliseconds{1}, now + Milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(1.5, notices.find("u1", 7).rateLimit);
        CPPUNIT_ASSERT_EQUAL(unlimitedRate, notices.find("u1", 8).rateLimit);
        CPPUNIT_ASSERT(!notices.find("u1", 7).leaving);
    }

    // Answers on different connections overtake each other.
    void overtakenAnswerDoesNotChangeTheRateLimit()
    {
        const SteadyTime now{std::chrono::seconds{50}};
        UpstreamNotices notices;
        CPPUNIT_ASSERT(notices.limitRate("u1", 7, 1.5, now, now));
        CPPUNIT_ASSERT(!notices.limitRate("u1", 7, unlimitedRate, now - Milliseconds{10}, now + Milliseconds{10}));
        CPPUNIT_ASSERT(!notices.limitRate("u1", 7, 9, now - Milliseconds{1}, now + Milliseconds{10}));
        CPPUNIT_ASSERT_EQUAL(1.5, notices.find("u1", 7).rateLimit);
        CPPUNIT_ASSERT(notices.limitRate("u1", 7, unlimitedRate, now + Milliseconds{10}, now + Milliseconds{20}));
        CPPUNIT_ASSERT_EQUAL(unlimitedRate, notices.find("u1", 7).rateLimit);
        // An upstream that never named a limit is not remembered for that.
        CPPUNIT_ASSERT(!notices.limitRate("u2", 7, unlimitedRate, now, now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());
    }

    // Guards against memory that grows with every upstream that ever left.
    void oldNoticesAreDropped()
    {
        UpstreamNotices notices;
        SteadyTime now{};
        for (int n = 0; n < 1'000; ++n) {
            notices.announceDrain("u" + std::to_string(n), 1, now);
            now += std::chrono::seconds{6};
        }
        CPPUNIT_ASSERT(notices.size() <= 102);
        CPPUNIT_ASSERT(notices.find("u999", 1).leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamNoticesTest);

} // namespace guavafield
