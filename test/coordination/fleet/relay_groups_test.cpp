// Tests of the groups in which reports are relayed.
#include <guavafield/coordination/fleet/relay_groups.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace guavafield {

class RelayGroupsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayGroupsTest);
    CPPUNIT_TEST(everyHostIsReachedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each host must get a change of upstreams exactly once, and neither sender nor relays may send to all hosts of a large fleet.
    void everyHostIsReachedOnce()
    {
        for (std::uint16_t hosts = 0; hosts <= 330; ++hosts) {
            std::vector<PeerAddress> targets;
            for (std::uint16_t n = 0; n < hosts; ++n) {
                targets.push_back({0, 0xFFFF'7F00'0001, static_cast<std::uint16_t>(n + 1)});
            }
            const auto groups = relayGroups(targets);
            std::set<std::uint16_t> reached;
            std::size_t sent = 0;
            for (std::size_t n = 0; n < groups.size(); ++n) {
                CPPUNIT_ASSERT(groups[n].relay == targets[n]);
                reached.insert(groups[n].relay.port);
                std::ranges::for_each(groups[n].others, [&](const PeerAddress &it) { reached.insert(it.port); });
                sent += 1 + groups[n].others.size();
                CPPUNIT_ASSERT(groups[n].others.size() <= 18);
            }
            CPPUNIT_ASSERT(groups.size() <= 19);
            CPPUNIT_ASSERT_EQUAL(targets.size(), reached.size());
            CPPUNIT_ASSERT_EQUAL(targets.size(), sent);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayGroupsTest);

} // namespace guavafield
