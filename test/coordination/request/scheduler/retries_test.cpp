// Tests of retries: what may be repeated, where, and how often.
#include "support/request/placement_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

using test::brokenConnection;
using test::PlacementFixture;

class RetriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetriesTest);
    CPPUNIT_TEST(retryUsesAnotherUpstream);
    CPPUNIT_TEST(nonRepeatableRequestIsNotRetried);
    CPPUNIT_TEST(unexecutedRequestIsRetried);
    CPPUNIT_TEST(requestIsRefusedAfterThreeCrashes);
    CPPUNIT_TEST(retryBudgetIsSharedAcrossHosts);
    CPPUNIT_TEST_SUITE_END();

public:
    // A retry uses another engine than the one that failed, and attempts are limited by maxAttempts.
    void retryUsesAnotherUpstream()
    {
        PlacementFixture host(1);
        const auto first = host.send(host.request(42));
        const AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
        const auto resolution = host.scheduler.onAttemptEnded(first->request, first->upstream, failure, host.now);
        CPPUNIT_ASSERT(std::holds_alternative<RetryQueued>(resolution));
        const auto second = host.step();
        CPPUNIT_ASSERT(second->upstream != first->upstream);
        const auto last = host.scheduler.onAttemptEnded(second->request, second->upstream, failure, host.now);
        CPPUNIT_ASSERT(std::holds_alternative<Refused>(last));
    }

    // A non-idempotent request, e.g. a booking, must not run twice.
    void nonRepeatableRequestIsNotRetried()
    {
        PlacementFixture host(1);
        auto info = host.request(42);
        info.repeatable = false;
        info.resumable = false;
        const auto first = host.send(info);
        const auto resolution = host.scheduler.onAttemptEnded(first->request, first->upstream, brokenConnection(), host.now);
        CPPUNIT_ASSERT(std::holds_alternative<Refused>(resolution));
        CPPUNIT_ASSERT(!host.step().has_value());
    }

    // A request that a full engine certainly did not execute is retried even if it is not repeatable.
    void unexecutedRequestIsRetried()
    {
        PlacementFixture host(1);
        auto info = host.request(42);
        info.repeatable = false;
        info.resumable = false;
        info.maxAttempts = 1;
        const auto first = host.send(info);
        AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
        failure.notExecuted = true;
        const auto resolution = host.scheduler.onAttemptEnded(first->request, first->upstream, failure, host.now);
        CPPUNIT_ASSERT(std::holds_alternative<RetryQueued>(resolution));
        CPPUNIT_ASSERT(host.step()->upstream != first->upstream);
    }

    // A request that crashes upstreams is refused on all hosts after its third crash, also if no host has seen all of them.
    void requestIsRefusedAfterThreeCrashes()
    {
        PlacementFixture hosts[]{PlacementFixture(1), PlacementFixture(2), PlacementFixture(3)};
        auto info = hosts[0].request(42);
        info.resumable = false;
        info.repeatable = false;
        int number = 0;
        for (auto &host : hosts) {
            info.id = "attempt" + std::to_string(++number);
            // Each process crashes once.
            for (auto &[id, upstream] : host.configuration.upstreams) {
                upstream.incarnation = static_cast<Incarnation>(number);
            }
            host.apply();
            const auto dispatch = host.send(info);
            CPPUNIT_ASSERT(dispatch.has_value());
            (void)host.scheduler.onAttemptEnded(dispatch->request, dispatch->upstream, brokenConnection(), host.now);
            host.endProcess(dispatch->upstream);
            for (auto &other : hosts) {
                other.scheduler.crashEvidence().merge(host.scheduler.crashEvidence().knowledge(host.now), other.now);
            }
        }
        for (auto &host : hosts) {
            info.id = "once more";
            CPPUNIT_ASSERT(!host.send(info).has_value());
            CPPUNIT_ASSERT(host.refused == ResultCode::CrashSuspectRefused);
            info.id = "another body";
            auto other = info;
            other.fingerprint[5] = 1;
            CPPUNIT_ASSERT(host.send(other).has_value());
        }
    }

    // Prevents retries from amplifying overload: all hosts together stay below a fifth of the requests plus a few dozen.
    void retryBudgetIsSharedAcrossHosts()
    {
        constexpr std::uint32_t hosts = 27;
        constexpr int requests = 100;
        int retries = 0;
        PlacementFixture host(1, 30);
        host.scheduler.setFleetHosts(hosts, 0, host.now);
        for (int n = 0; n < requests; ++n) {
            const auto first = host.send(host.request(static_cast<std::uint64_t>(n)));
            const AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
            const auto resolution = host.scheduler.onAttemptEnded(first->request, first->upstream, failure, host.now);
            if (std::holds_alternative<RetryQueued>(resolution)) {
                ++retries;
                host.scheduler.cancel(first->request, host.now);
            }
            host.now += Milliseconds{20};
        }
        CPPUNIT_ASSERT(retries <= 0.2 * requests + 58.0 / hosts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetriesTest);

} // namespace guavafield
