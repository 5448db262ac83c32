// Tests of self-queueing pools: placement and learned rates.
#include "support/request/placement_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <vector>

namespace guavafield {

using test::PlacementFixture;

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(hostsAgreeOnPrefixOwner);
    CPPUNIT_TEST(busyOwnerCausesPrefixCopy);
    CPPUNIT_TEST(newOwnerCopiesFromPreviousOwner);
    CPPUNIT_TEST(prefillRateIsLearnedFromFirstTokenOnly);
    CPPUNIT_TEST(peerWorkIsIncludedInPlacement);
    CPPUNIT_TEST(newerReportReplacesPeerWork);
    CPPUNIT_TEST(leavingUpstreamIsNotChosen);
    CPPUNIT_TEST(missingUpstreamIsRefusedBeforeTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    // All hosts choose the same owner, so that a shared prefix is not prefilled by several engines.
    void hostsAgreeOnPrefixOwner()
    {
        PlacementFixture first(1);
        PlacementFixture second(2);
        std::set<UpstreamId> owners;
        for (std::uint64_t prefix = 1; prefix <= 60; ++prefix) {
            const auto one = first.send(first.request(prefix * 7'919));
            const auto other = second.send(second.request(prefix * 7'919));
            first.complete(*one, Milliseconds{200});
            second.complete(*other, Milliseconds{200});
            CPPUNIT_ASSERT_EQUAL(one->upstream, other->upstream);
            owners.insert(one->upstream);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, owners.size());
    }

    // Requests for a hot prefix overflow to other engines, which copy the prefix instead of recomputing it.
    void busyOwnerCausesPrefixCopy()
    {
        PlacementFixture host(1);
        const auto first = host.send(host.request(99));
        std::optional<DispatchAction> other;
        for (int n = 0; n < 60 && !other; ++n) {
            auto dispatch = host.send(host.request(99));
            if (dispatch->upstream != first->upstream) {
                other = dispatch;
            }
        }
        CPPUNIT_ASSERT(other.has_value());
        CPPUNIT_ASSERT_EQUAL(first->upstream, other->fetchFrom);
    }

    // A new engine copies its prefixes from their previous owners instead of recomputing them.
    void newOwnerCopiesFromPreviousOwner()
    {
        PlacementFixture host(1, 3);
        host.now += std::chrono::seconds{30};
        StringMap<UpstreamId> before;
        for (std::uint64_t prefix = 1; prefix <= 40; ++prefix) {
            const auto dispatch = host.send(host.request(prefix * 7'919));
            before[std::to_string(prefix)] = dispatch->upstream;
            host.complete(*dispatch, Milliseconds{200});
        }
        host.addUpstream("u9");
        host.apply();
        // Before the settle time has passed, the previous owner keeps its prefixes unless it is busy.
        host.now += std::chrono::seconds{11};
        int moved = 0;
        for (std::uint64_t prefix = 1; prefix <= 40; ++prefix) {
            const auto dispatch = host.send(host.request(prefix * 7'919));
            if (dispatch->upstream == "u9") {
                ++moved;
                CPPUNIT_ASSERT_EQUAL(before[std::to_string(prefix)], dispatch->fetchFrom);
            }
            host.scheduler.cancel(dispatch->request, host.now);
        }
        CPPUNIT_ASSERT(moved > 0);
    }

    // The prefill rate must not be learned from later events, which made predicted waits several times too long.
    void prefillRateIsLearnedFromFirstTokenOnly()
    {
        PlacementFixture host(1);
        Milliseconds expected{0};
        for (int n = 0; n < 40; ++n) {
            const auto dispatch = host.send(host.request(std::uint64_t{1'000} + static_cast<std::uint64_t>(n)));
            expected = dispatch->expected;
            host.complete(*dispatch, Milliseconds{90});
        }
        CPPUNIT_ASSERT(expected > Milliseconds{20} && expected < Milliseconds{300});
    }

    // Work reported by peers is considered, so that hosts do not all choose the same seemingly idle engine.
    void peerWorkIsIncludedInPlacement()
    {
        PlacementFixture host(1);
        auto info = host.request(5);
        info.prefixHashes.clear();
        info.prefixTokens.clear();
        std::vector<PeerWork> work;
        for (int n = 0; n < 6; ++n) {
            if (n != 4) {
                work.push_back({stableIdHash("u" + std::to_string(n)), 200'000, 20});
            }
        }
        host.scheduler.onPeerWork("h2", work, {}, host.now);
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u4"), host.send(info)->upstream);
        host.now += std::chrono::seconds{10};
        (void)host.step();
        CPPUNIT_ASSERT(host.scheduler.poolLoads().at("p").queueSeconds < 0.2);
    }

    // A newer report replaces the previous one, reported work applies to upstreams added later, and it expires with its host.
    void newerReportReplacesPeerWork()
    {
        PlacementFixture host(1);
        const auto running = [&] { return host.scheduler.poolLoads().at("p").running; };
        const auto report = [&](std::string_view from, std::vector<PeerWork> work) { host.scheduler.onPeerWork(from, work, {}, host.now); };
        report("h2", {{stableIdHash("u0"), 1'000, 3}, {stableIdHash("u1"), 0, 4}});
        report("h3", {{stableIdHash("u1"), 0, 5}, {stableIdHash("late"), 0, 7}});
        CPPUNIT_ASSERT_EQUAL(12.0, running());
        report("h2", {{stableIdHash("u2"), 0, 2}});
        CPPUNIT_ASSERT_EQUAL(7.0, running());
        CPPUNIT_ASSERT_EQUAL(0.0, host.scheduler.poolLoads().at("p").queueSeconds);
        host.addUpstream("late");
        host.apply();
        report("h4", {});
        CPPUNIT_ASSERT_EQUAL(14.0, running());
        host.configuration.upstreams.erase("u1");
        host.apply();
        report("h4", {});
        CPPUNIT_ASSERT_EQUAL(9.0, running());
        host.now += std::chrono::seconds{5};
        report("h3", {{stableIdHash("u1"), 0, 5}, {stableIdHash("late"), 0, 1}});
        CPPUNIT_ASSERT_EQUAL(1.0, running());
    }

    // A leaving engine receives no requests but can still be the source of a copy.
    void leavingUpstreamIsNotChosen()
    {
        PlacementFixture host(1);
        const auto owner = host.send(host.request(42))->upstream;
        host.configuration.upstreams[owner].leaving = true;
        host.apply();
        const auto next = host.send(host.request(42));
        CPPUNIT_ASSERT(next->upstream != owner);
        CPPUNIT_ASSERT_EQUAL(owner, next->fetchFrom);
    }

    // Without upstreams, a request is refused well before the caller times out.
    void missingUpstreamIsRefusedBeforeTarget()
    {
        PlacementFixture host(1, 0);
        CPPUNIT_ASSERT(!host.send(host.request(42)).has_value());
        host.now += Milliseconds{1'000} / 8;
        (void)host.step();
        CPPUNIT_ASSERT(host.refused == ResultCode::NoUpstream);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace guavafield
