// Tests of the choice of the host that serves requests of a pool whose upstreams cannot be reached.
#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace guavafield {

namespace {

constexpr std::uint64_t poolHash = 17;

RelayCandidate candidate(const std::string &dataCentre, std::vector<std::uint64_t> unreachable = {}, std::uint32_t running = 0)
{
    return {dataCentre, {}, PeerAddress{0, 1, 8080}, std::move(unreachable), running};
}

} // namespace

class RelayTargetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTargetsTest);
    CPPUNIT_TEST(hostThatReachesNoUpstreamIsNotChosen);
    CPPUNIT_TEST(hostWithoutARecentReportIsNotChosen);
    CPPUNIT_TEST(hostThatCannotBeReachedIsNotChosenForAWhile);
    CPPUNIT_TEST(requestsAreSpreadOverTheHostsThatAreLeft);
    CPPUNIT_TEST(hostOfTheOwnDataCentreIsPreferredWhileItHasNoMoreLoad);
    CPPUNIT_TEST(requestIsRelayedOnlyWhileNoUpstreamIsReached);
    CPPUNIT_TEST(requestIsNotRelayedWhenNobodyReachesThePool);
    CPPUNIT_TEST(requestIsRelayedInsideItsHomeRegionsOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void hostThatReachesNoUpstreamIsNotChosen()
    {
        m_targets.onReport("h1", candidate("dc", {poolHash}), m_now);
        CPPUNIT_ASSERT(!m_targets.choose(poolHash, {}, {}, m_now));
        CPPUNIT_ASSERT(m_targets.choose(poolHash + 1, {}, {}, m_now).has_value());
        m_targets.onReport("h1", candidate("dc"), m_now);
        CPPUNIT_ASSERT(m_targets.choose(poolHash, {}, {}, m_now).has_value());
        const std::vector<HostId> tried{"h1"};
        CPPUNIT_ASSERT(!m_targets.choose(poolHash, {}, tried, m_now));
        m_targets.erase("h1");
        CPPUNIT_ASSERT(!m_targets.choose(poolHash, {}, {}, m_now));
    }

    // A relay would copy the body to a host outside of the regions in which it may be processed.
    void requestIsRelayedInsideItsHomeRegionsOnly()
    {
        const HomeRegions homes{{"north"}};
        auto unknown = candidate("dc");
        m_targets.onReport("h1", unknown, m_now);
        auto south = candidate("dc");
        south.region = "south";
        m_targets.onReport("h2", south, m_now);
        CPPUNIT_ASSERT(m_targets.choose(poolHash, {}, {}, m_now).has_value());
        CPPUNIT_ASSERT(!m_targets.choose(poolHash, homes, {}, m_now));
        auto north = candidate("dc2");
        north.region = "north";
        m_targets.onReport("h3", north, m_now);
        CPPUNIT_ASSERT_EQUAL(HostId("h3"), m_targets.choose(poolHash, homes, {}, m_now)->host);
    }

    void hostWithoutARecentReportIsNotChosen()
    {
        m_targets.setReportTtl(Milliseconds{4'000});
        m_targets.onReport("h1", candidate("dc"), m_now);
        CPPUNIT_ASSERT(m_targets.choose(poolHash, {}, {}, m_now + Milliseconds{4'000}).has_value());
        CPPUNIT_ASSERT(!m_targets.choose(poolHash, {}, {}, m_now + Milliseconds{4'001}));
    }

    void hostThatCannotBeReachedIsNotChosenForAWhile()
    {
        m_targets.onReport("h1", candidate("dc"), m_now);
        m_targets.onUnreachable("h1", m_now);
        CPPUNIT_ASSERT(!m_targets.choose(poolHash, {}, {}, m_now));
        CPPUNIT_ASSERT(m_targets.choose(poolHash, {}, {}, m_now + Milliseconds{3'000}).has_value());
    }

    void requestsAreSpreadOverTheHostsThatAreLeft()
    {
        for (const auto *host : {"h1", "h2", "h3"}) {
            m_targets.onReport(host, candidate("dc"), m_now);
        }
        std::map<HostId, int> chosen;
        for (int n = 0; n < 300; ++n) {
            const auto target = m_targets.choose(poolHash, {}, {}, m_now).value();
            m_targets.onStarted(target.host);
            ++chosen[target.host];
        }
        for (const auto &[host, count] : chosen) {
            CPPUNIT_ASSERT_MESSAGE(host, count >= 90 && count <= 110);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
    }

    void hostOfTheOwnDataCentreIsPreferredWhileItHasNoMoreLoad()
    {
        m_targets.onReport("near", candidate("dc"), m_now);
        m_targets.onReport("far", candidate("other"), m_now);
        int near = 0;
        for (int n = 0; n < 100; ++n) {
            const auto target = m_targets.choose(poolHash, {}, {}, m_now).value();
            near += target.host == "near" ? 1 : 0;
        }
        CPPUNIT_ASSERT(near > 60);
        m_targets.onReport("near", candidate("dc", {}, 50), m_now);
        near = 0;
        for (int n = 0; n < 100; ++n) {
            const auto target = m_targets.choose(poolHash, {}, {}, m_now).value();
            near += target.host == "near" ? 1 : 0;
        }
        CPPUNIT_ASSERT(near < 40);
    }

    void requestIsRelayedOnlyWhileNoUpstreamIsReached()
    {
        auto scheduler = makeScheduler();
        scheduler->relayTargets().onReport("h2", candidate("dc"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("u0"), dispatched(*scheduler, "r1", false));
        failAll(*scheduler, "r1");
        CPPUNIT_ASSERT_EQUAL(std::string("h2"), relayedTo(*scheduler));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduler->unreachablePools(m_now).size());
        // A request that another host has relayed stays here.
        CPPUNIT_ASSERT_EQUAL(std::string(), dispatched(*scheduler, "r2", true));
        CPPUNIT_ASSERT_EQUAL(std::string(), m_relayed);
    }

    void requestIsNotRelayedWhenNobodyReachesThePool()
    {
        auto scheduler = makeScheduler();
        scheduler->relayTargets().onReport("h2", candidate("dc", {stableIdHash("p")}), m_now);
        std::ignore = dispatched(*scheduler, "r1", false);
        failAll(*scheduler, "r1");
        CPPUNIT_ASSERT_EQUAL(std::string(), relayedTo(*scheduler));
    }

private:
    std::unique_ptr<RequestScheduler> makeScheduler()
    {
        Configuration configuration;
        configuration.pools["p"].id = "p";
        Upstream upstream;
        upstream.id = "u0";
        upstream.pool = "p";
        upstream.dataCentre = "dc";
        upstream.slots = 8;
        configuration.upstreams[upstream.id] = upstream;
        auto scheduler = std::make_unique<RequestScheduler>(SchedulerSettings{"dc", 1, 7});
        scheduler->applyConfiguration(configuration, m_now);
        return scheduler;
    }

    // Returns the upstream to which the request is sent at once; empty if there is none.
    std::string dispatched(RequestScheduler &scheduler, const std::string &id, bool relayed)
    {
        RequestInfo info;
        info.id = id;
        info.team = "t";
        info.className = "p";
        info.model = "p";
        info.firstTokenTarget = Milliseconds{1'000};
        info.totalTarget = Milliseconds{5'000};
        info.relayed = relayed;
        std::ignore = scheduler.submit(std::move(info), m_now);
        std::string result;
        m_relayed.clear();
        for (const auto &it : scheduler.step(m_now)) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&it)) {
                result = dispatch->upstream;
            } else if (const auto *relay = std::get_if<RelayAction>(&it)) {
                m_relayed = relay->target.host;
            }
        }
        return result;
    }

    void failAll(RequestScheduler &scheduler, const std::string &id) const
    {
        AttemptFailed failure;
        failure.reason = RetryReason::ConnectFailed;
        failure.notExecuted = true;
        std::ignore = scheduler.onAttemptEnded(id, "u0", failure, m_now);
    }

    std::string relayedTo(RequestScheduler &scheduler)
    {
        m_relayed.clear();
        for (const auto &it : scheduler.step(m_now)) {
            if (const auto *relay = std::get_if<RelayAction>(&it)) {
                m_relayed = relay->target.host;
            }
        }
        return m_relayed;
    }

    SteadyTime m_now{std::chrono::seconds{1'000}};
    RelayTargets m_targets{"dc", 3};
    std::string m_relayed;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTargetsTest);

} // namespace guavafield
