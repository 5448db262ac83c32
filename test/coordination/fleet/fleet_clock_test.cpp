// Tests of the agreed wall clock time.
#include <guavafield/coordination/fleet/fleet_clock.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

class FleetClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetClockTest);
    CPPUNIT_TEST(clockStepOfMinorityIsIgnored);
    CPPUNIT_TEST(ownClockStepIsIgnored);
    CPPUNIT_TEST(staleReadingsAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Usage must not be counted in the wrong window when the clocks of some hosts step.
    void clockStepOfMinorityIsIgnored()
    {
        for (int n = 0; n < 9; ++n) {
            const auto step = n < 3 ? std::chrono::seconds{40} : std::chrono::seconds{0};
            m_clock.addReading("h" + std::to_string(n), wallAt(0) + step, at(0));
        }
        CPPUNIT_ASSERT(*m_clock.now(at(0)) == wallAt(0));
        CPPUNIT_ASSERT(*m_clock.now(at(2'000)) == wallAt(2'000));
    }

    // A host must not prefer its own clock to those of the others.
    void ownClockStepIsIgnored()
    {
        for (const auto *host : {"own", "h1", "h2"}) {
            m_clock.addReading(host, wallAt(0), at(0));
        }
        m_clock.addReading("own", wallAt(500) - std::chrono::seconds{30}, at(500));
        CPPUNIT_ASSERT(*m_clock.now(at(500)) == wallAt(500));
    }

    // Readings of hosts that have stopped must not outweigh those of running hosts.
    void staleReadingsAreIgnored()
    {
        for (const auto *host : {"d1", "d2", "d3"}) {
            m_clock.addReading(host, wallAt(0) + std::chrono::seconds{60}, at(0));
        }
        m_clock.addReading("own", wallAt(10'000), at(10'000));
        CPPUNIT_ASSERT(*m_clock.now(at(10'000)) == wallAt(10'000));
    }

private:
    static SteadyTime at(int milliseconds)
    {
        return SteadyTime{Milliseconds{milliseconds}};
    }
    static WallTime wallAt(int milliseconds)
    {
        return WallTime{std::chrono::seconds{1'700'000'000} + Milliseconds{milliseconds}};
    }

    FleetClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetClockTest);

} // namespace guavafield
