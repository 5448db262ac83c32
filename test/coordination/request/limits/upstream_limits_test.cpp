// Tests of upstreams that ask for a pause or name the rate that they take.
#include "support/request/placement_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <set>
#include <vector>

namespace guavafield {

using test::PlacementFixture;

class UpstreamLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamLimitsTest);
    CPPUNIT_TEST(pausedUpstreamIsNotChosen);
    CPPUNIT_TEST(downUpstreamIsNotProbedInItsPause);
    CPPUNIT_TEST(refusalNamesTheEndOfThePauses);
    CPPUNIT_TEST(hostsTogetherKeepTheRateThatAnUpstreamNames);
    CPPUNIT_TEST(peersLearnOfRateLimits);
    CPPUNIT_TEST(rateLimitHoldsForRetriesAndProbes);
    CPPUNIT_TEST(limitedUpstreamsAloneRefuseWithTheirOwnCode);
    CPPUNIT_TEST_SUITE_END();

public:
    // An upstream that asks for a pause gets neither new requests nor retries of this host until it is over.
    void pausedUpstreamIsNotChosen()
    {
        constexpr Milliseconds pause{4'000};
        PlacementFixture host(1, 2);
        host.scheduler.onPauseRequested("u0", pause, host.now);
        const auto end = host.now + pause;
        // Neither the same entry once more nor its removal and return is a new process.
        host.apply();
        const auto entry = host.configuration.upstreams.at("u0");
        host.configuration.upstreams.erase("u0");
        host.apply();
        host.configuration.upstreams["u0"] = entry;
        host.apply();
        for (std::uint64_t prefix = 1; host.now < end; ++prefix, host.now += Milliseconds{37}) {
            const auto dispatch = host.send(host.request(prefix * 7'919));
            CPPUNIT_ASSERT(dispatch.has_value());
            CPPUNIT_ASSERT_EQUAL(UpstreamId("u1"), dispatch->upstream);
            (void)host.scheduler.onAttemptEnded(dispatch->request, dispatch->upstream, AttemptCompleted{}, host.now);
        }
        std::set<UpstreamId> used;
        for (std::uint64_t prefix = 1; prefix <= 60; ++prefix) {
            used.insert(host.send(host.request(prefix * 7'919))->upstream);
        }
        CPPUNIT_ASSERT(used.contains("u0"));
    }

    // A request that finds out whether an upstream is back counts as well.
    void downUpstreamIsNotProbedInItsPause()
    {
        constexpr Milliseconds pause{60'000};
        PlacementFixture host(1, 1);
        const auto request = [&] {
            auto info = host.request(1);
            info.repeatable = true;
            return info;
        };
        AttemptFailed failure{ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed};
        failure.notExecuted = true;
        const auto first = host.send(request());
        (void)host.scheduler.onAttemptEnded(first->request, first->upstream, failure, host.now);
        host.scheduler.onPauseRequested("u0", pause, host.now);
        for (const auto end = host.now + pause; host.now < end; host.now += Milliseconds{500}) {
            CPPUNIT_ASSERT(!host.send(request()).has_value());
        }
        CPPUNIT_ASSERT(host.send(request()).has_value());
    }

    // Callers are told to come back when an upstream takes requests again, not before.
    void refusalNamesTheEndOfThePauses()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            PlacementFixture host(seed, 2);
            host.scheduler.onPauseRequested("u0", Milliseconds{9'000}, host.now);
            host.scheduler.onPauseRequested("u1", Milliseconds{6'000}, host.now);
            CPPUNIT_ASSERT(!host.send(host.request(1)).has_value());
            host.now += Milliseconds{1'000};
            CPPUNIT_ASSERT(!host.step().has_value());
            CPPUNIT_ASSERT(host.refused == ResultCode::NoUpstream);
            CPPUNIT_ASSERT(host.retryAfter >= Milliseconds{5'000});
            CPPUNIT_ASSERT(host.retryAfter <= Milliseconds{9'000});
        }
    }

    // Each host by itself would use the whole rate.
    void hostsTogetherKeepTheRateThatAnUpstreamNames()
    {
        constexpr std::uint32_t hostCount = 9;
        constexpr double perSecond = 2;
        constexpr std::chrono::seconds window{4};
        std::vector<std::unique_ptr<PlacementFixture>> hosts;
        for (std::uint32_t n = 0; n < hostCount; ++n) {
            auto &host = *hosts.emplace_back(std::make_unique<PlacementFixture>(n + 1, 2));
            host.scheduler.setFleetHosts(hostCount, n, host.now);
            (void)host.scheduler.onRateLimit("u0", perSecond, host.now, host.now);
        }
        std::deque<SteadyTime> sent;
        std::size_t total = 0;
        std::uint64_t prefix = 0;
        for (int n = 0; n < 600; ++n) {
            for (auto &host : hosts) {
                const auto dispatch = host->send(host->request(++prefix * 7'919));
                CPPUNIT_ASSERT(dispatch.has_value());
                if (dispatch->upstream == "u0") {
                    CPPUNIT_ASSERT_EQUAL(perSecond, dispatch->rateLimit);
                    sent.push_back(host->now);
                    ++total;
                }
                (void)host->scheduler.onAttemptEnded(dispatch->request, dispatch->upstream, AttemptCompleted{}, host->now);
                host->now += Milliseconds{50};
            }
            while (!sent.empty() && hosts.front()->now - sent.front() > window) {
                sent.pop_front();
            }
            CPPUNIT_ASSERT(static_cast<double>(sent.size()) <= 1.5 * perSecond * static_cast<double>(window.count()) + 5);
        }
        // Half of the requests would go there without a limit, so that most of the rate is used.
        CPPUNIT_ASSERT(static_cast<double>(total) >= 0.5 * perSecond * 30);
        (void)hosts.front()->scheduler.onRateLimit("u0", unlimitedRate, hosts.front()->now, hosts.front()->now);
        std::set<UpstreamId> used;
        for (int n = 0; n < 20; ++n) {
            used.insert(hosts.front()->send(hosts.front()->request(++prefix * 7'919))->upstream);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
    }

    // In a large fleet most hosts have not heard of a new limit from the upstream itself.
    void peersLearnOfRateLimits()
    {
        PlacementFixture host(1, 2);
        PlacementFixture peer(2, 2);
        (void)host.scheduler.onRateLimit("u0", 2, host.now, host.now);
        // Restating the limit must not take the news away before the next report.
        host.now += Milliseconds{10};
        CPPUNIT_ASSERT(!host.scheduler.onRateLimit("u0", 2, host.now, host.now));
        const auto news = host.scheduler.rateLimitNews(host.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.size());
        peer.now += Milliseconds{20};
        peer.scheduler.onPeerRateLimits(news, peer.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peer.scheduler.rateLimitNews(peer.now).size());
        std::uint64_t prefix = 0;
        const auto countAtLimited = [&] {
            int count = 0;
            for (int n = 0; n < 40; ++n) {
                const auto dispatch = peer.send(peer.request(++prefix * 7'919));
                count += dispatch->upstream == "u0" ? 1 : 0;
                (void)peer.scheduler.onAttemptEnded(dispatch->request, dispatch->upstream, AttemptCompleted{}, peer.now);
            }
            return count;
        };
        CPPUNIT_ASSERT(countAtLimited() <= 1);
        // An earlier statement that arrives later changes nothing; the end of the limit does.
        auto late = news;
        late.front().perSecond = unlimitedRate;
        late.front().age += Milliseconds{500};
        peer.scheduler.onPeerRateLimits(late, peer.now);
        CPPUNIT_ASSERT(countAtLimited() <= 1);
        late.front().age = Milliseconds{0};
        peer.now += Milliseconds{50};
        peer.scheduler.onPeerRateLimits(late, peer.now);
        CPPUNIT_ASSERT(countAtLimited() > 5);
    }

    void rateLimitHoldsForRetriesAndProbes()
    {
        PlacementFixture host(1, 2);
        (void)host.scheduler.onRateLimit("u0", 0, host.now, host.now);
        const AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
        const AttemptFailed unreachable{ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed};
        for (std::uint64_t prefix = 1; prefix <= 3; ++prefix) {
            const auto first = host.send(host.request(prefix * 7'919));
            CPPUNIT_ASSERT_EQUAL(UpstreamId("u1"), first->upstream);
            CPPUNIT_ASSERT(!host.scheduler.mayMove(first->request, host.now));
            (void)host.scheduler.onAttemptEnded(first->request, first->upstream, failure, host.now);
            CPPUNIT_ASSERT(!host.step().has_value());
            host.scheduler.cancel(first->request, host.now);
        }
        // A request that finds out whether the upstream is back needs a permit as well.
        PlacementFixture single(1, 1);
        const auto sent = single.send(single.request(7'919));
        (void)single.scheduler.onAttemptEnded(sent->request, sent->upstream, unreachable, single.now);
        (void)single.scheduler.onRateLimit("u0", 0, single.now, single.now);
        int probes = 0;
        for (int n = 0; n < 200; ++n) {
            probes += single.send(single.request(7'919)).has_value() ? 1 : 0;
            single.now += Milliseconds{20};
        }
        CPPUNIT_ASSERT(probes <= 1);
    }

    void limitedUpstreamsAloneRefuseWithTheirOwnCode()
    {
        PlacementFixture host(1, 1);
        (void)host.scheduler.onRateLimit("u0", 0, host.now, host.now);
        CPPUNIT_ASSERT(!host.send(host.request(7'919)).has_value());
        host.now += Milliseconds{200};
        CPPUNIT_ASSERT(!host.step().has_value());
        CPPUNIT_ASSERT(host.refused == ResultCode::UpstreamRateLimited);
        CPPUNIT_ASSERT(host.retryAfter > Milliseconds{0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLimitsTest);

} // namespace guavafield
