// Tests of the forecast of upstreams whose speed changes within a second, and of the choice between them.
#include "support/request/placement_fixture.hpp"

#include <guavafield/coordination/request/placement/slowdown_forecast.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

using test::PlacementFixture;

class SlowdownForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlowdownForecastTest);
    CPPUNIT_TEST(sampleIsTrustedForAsLongAsSamplesPredict);
    CPPUNIT_TEST(plainServiceIsCalledWhereItIsFastNow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a report that is believed after the speed has changed, or not believed while it holds.
    void sampleIsTrustedForAsLongAsSamplesPredict()
    {
        SlowdownPersistence persistence;
        SlowdownForecast forecast;
        SteadyTime now{std::chrono::hours{1}};
        CPPUNIT_ASSERT_EQUAL(1.0, forecast.expected(now, persistence));
        // Slow and fast by turns for 400 ms, seen every 100 ms.
        for (int n = 0; n < 4'000; ++n) {
            forecast.onSample(n / 4 % 2 == 0 ? 3 : 1, now, persistence);
            now += Milliseconds{100};
        }
        forecast.onSample(3, now, persistence);
        const double soon = forecast.expected(now + Milliseconds{100}, persistence);
        const double later = forecast.expected(now + std::chrono::seconds{30}, persistence);
        CPPUNIT_ASSERT(soon > 2.3 && soon <= 3);
        CPPUNIT_ASSERT(later > 1.7 && later < 2.3);
    }

    // Guards against calls that wait at an upstream which others slow down while the next one is fast.
    void plainServiceIsCalledWhereItIsFastNow()
    {
        PlacementFixture host(1, 3);
        host.configuration.pools.at("p").engine.reset();
        host.apply();
        int slow = 0;
        for (int n = 0; n < 300; ++n) {
            for (const auto *it : {"u0", "u1", "u2"}) {
                LoadReport report;
                report.slots = 6;
                report.slowdown = it == std::string("u0") ? 2.5 : 1.0;
                host.scheduler.onLoadReport(it, report, host.now);
            }
            host.now += Milliseconds{10};
            const auto dispatch = host.send(host.request(1));
            CPPUNIT_ASSERT(dispatch.has_value());
            slow += dispatch->upstream == "u0" ? 1 : 0;
            (void)host.scheduler.onAttemptEnded(dispatch->request, dispatch->upstream, AttemptCompleted{}, host.now);
        }
        CPPUNIT_ASSERT(slow < 30);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowdownForecastTest);

} // namespace guavafield
