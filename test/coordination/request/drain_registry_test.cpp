// Tests of remembered announcements of leaving upstreams.
#include <guavafield/coordination/request/drain_registry.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

class DrainRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainRegistryTest);
    CPPUNIT_TEST(announcementHoldsForItsIncarnation);
    CPPUNIT_TEST(oldAnnouncementsAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void announcementHoldsForItsIncarnation()
    {
        DrainRegistry registry;
        registry.announce("u1", 7, SteadyTime{});
        CPPUNIT_ASSERT(registry.isLeaving("u1", 7));
        CPPUNIT_ASSERT(!registry.isLeaving("u1", 8));
        CPPUNIT_ASSERT(!registry.isLeaving("u2", 7));
    }

    // Guards against memory that grows with every upstream that ever left.
    void oldAnnouncementsAreDropped()
    {
        DrainRegistry registry;
        SteadyTime now{};
        for (int n = 0; n < 1'000; ++n) {
            registry.announce("u" + std::to_string(n), 1, now);
            now += std::chrono::seconds{6};
        }
        CPPUNIT_ASSERT(registry.size() <= 102);
        CPPUNIT_ASSERT(registry.isLeaving("u999", 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainRegistryTest);

} // namespace guavafield
