// Tests of remembered notices of upstreams.
#include <guavafield/coordination/request/upstream_notices.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

class UpstreamNoticesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamNoticesTest);
    CPPUNIT_TEST(announcementHoldsForItsIncarnation);
    CPPUNIT_TEST(pauseHoldsForItsIncarnation);
    CPPUNIT_TEST(longestPauseCounts);
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
