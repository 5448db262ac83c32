// Tests of a host that loses its links to upstreams: what it believes of requests, and how it comes back.
#include "support/request/placement_fixture.hpp"

#include <guavafield/coordination/request/health/broken_attempts.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <vector>

namespace guavafield::test {

namespace {

constexpr CrashId process{7, 1};

BrokenAttempt brokenAt(SteadyTime at)
{
    return {process, CrashSuspect{42, {}, false}, 12, at};
}

} // namespace

class LostLinksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LostLinksTest);
    CPPUNIT_TEST(refusedConnectionAloneIsNoCrash);
    CPPUNIT_TEST(refusedConnectionWhileAnotherUpstreamIsReachedIsACrash);
    CPPUNIT_TEST(processThatTakesConnectionsHasNotCrashed);
    CPPUNIT_TEST(replacedProcessHasCrashed);
    CPPUNIT_TEST(breakThatNothingExplainsIsForgotten);
    CPPUNIT_TEST(equalRequestsAreNotRefusedAfterAllLinksWereLost);
    CPPUNIT_TEST(equalRequestsAreNotRefusedAfterAllConnectionsWereReset);
    CPPUNIT_TEST(crashThatIsNoneIsRefutedByAHostThatReachesTheUpstream);
    CPPUNIT_TEST(upstreamThatGetsNoRepeatableRequestsIsUsedAgainAfterAFailedConnection);
    CPPUNIT_TEST(upstreamIsUsedAgainAfterManyOfItsConnectionsBroke);
    CPPUNIT_TEST(probesUnderWayAreBoundedAndEachUpstreamHasItsTurn);
    CPPUNIT_TEST(upstreamsThatCannotBeReachedAreProbedLessAndLessOften);
    CPPUNIT_TEST(firstConnectionAfterACutHasAllOthersProbedAtOnce);
    CPPUNIT_TEST(cutWithOpenConnectionsIsFoundByOneFailure);
    CPPUNIT_TEST(upstreamThatServesIsNotLostForAConnectionThatItTurnedAway);
    CPPUNIT_TEST(oneUpstreamWithoutAnswersLeavesTheOthersReached);
    CPPUNIT_TEST(fullUpstreamsThatResetNewConnectionsAreNotLostWhileStreamsRun);
    CPPUNIT_TEST(upstreamIsNotProbedWhileItWantsNoRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusedConnectionAloneIsNoCrash()
    {
        BrokenAttempts broken;
        broken.add(brokenAt(m_now));
        broken.onRefused(process.upstream);
        // Reached again only after the cut.
        broken.onReached(8, m_now + Milliseconds{1'000});
        CPPUNIT_ASSERT(broken.takeCrashed(m_now + Milliseconds{1'000}).empty());
    }

    void refusedConnectionWhileAnotherUpstreamIsReachedIsACrash()
    {
        BrokenAttempts broken;
        broken.add(brokenAt(m_now));
        broken.onReached(process.upstream, m_now + Milliseconds{100});
        broken.onRefused(process.upstream);
        CPPUNIT_ASSERT(broken.takeCrashed(m_now + Milliseconds{100}).empty());
        broken.onReached(8, m_now + Milliseconds{100});
        broken.onRefused(process.upstream);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, broken.takeCrashed(m_now + Milliseconds{150}).size());
        CPPUNIT_ASSERT(broken.takeCrashed(m_now + Milliseconds{150}).empty());
    }

    void processThatTakesConnectionsHasNotCrashed()
    {
        BrokenAttempts broken;
        broken.add(brokenAt(m_now));
        broken.onReached(8, m_now + Milliseconds{100});
        broken.onConnected(process.upstream);
        broken.onRefused(process.upstream);
        CPPUNIT_ASSERT(broken.takeCrashed(m_now + Milliseconds{150}).empty());
    }

    void replacedProcessHasCrashed()
    {
        BrokenAttempts broken;
        broken.add(brokenAt(m_now));
        broken.onReplaced({process.upstream, process.incarnation + 1});
        CPPUNIT_ASSERT(broken.takeCrashed(m_now).empty());
        broken.onReplaced(process);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, broken.takeCrashed(m_now).size());
    }

    void breakThatNothingExplainsIsForgotten()
    {
        BrokenAttempts broken;
        broken.add(brokenAt(m_now));
        CPPUNIT_ASSERT(broken.takeCrashed(m_now + Milliseconds{7'000}).empty());
        broken.onReplaced(process);
        CPPUNIT_ASSERT(broken.takeCrashed(m_now + Milliseconds{7'000}).empty());
    }

    void equalRequestsAreNotRefusedAfterAllLinksWereLost()
    {
        PlacementFixture host(1, 3);
        breakEqualRequests(host);
        host.now += Milliseconds{200};
        probeAll(host, ProbeResult::Refused);
        CPPUNIT_ASSERT(host.scheduler.crashEvidence().knowledge(host.now).crashes.empty());
        host.now += Milliseconds{200};
        probeAll(host, ProbeResult::Answered);
        CPPUNIT_ASSERT(host.send(equalRequest(host, "after")).has_value());
    }

    void equalRequestsAreNotRefusedAfterAllConnectionsWereReset()
    {
        PlacementFixture host(1, 3);
        breakEqualRequests(host);
        host.now += Milliseconds{200};
        probeAll(host, ProbeResult::Answered);
        CPPUNIT_ASSERT(host.scheduler.crashEvidence().knowledge(host.now).crashes.empty());
        CPPUNIT_ASSERT(host.send(equalRequest(host, "after")).has_value());
    }

    // A host may reach some upstreams, and take those behind a cut for crashed.
    void crashThatIsNoneIsRefutedByAHostThatReachesTheUpstream()
    {
        PlacementFixture cut(1, 4);
        PlacementFixture sound(2, 4);
        const auto broken = breakEqualRequests(cut);
        cut.now += Milliseconds{200};
        for (const auto &[id, it] : cut.configuration.upstreams) {
            const bool lost = std::ranges::find(broken, id) != broken.end();
            if (!lost) {
                cut.scheduler.onProbe(id, ProbeResult::Answered, cut.now);
            }
        }
        for (const auto &id : broken) {
            cut.scheduler.onProbe(id, ProbeResult::Refused, cut.now);
        }
        const auto knowledge = cut.scheduler.crashEvidence().knowledge(cut.now);
        CPPUNIT_ASSERT_EQUAL(broken.size(), knowledge.crashes.size());
        CPPUNIT_ASSERT(!cut.send(equalRequest(cut, "refused")).has_value());
        sound.now = cut.now;
        sound.scheduler.onPeerCrashes(knowledge, sound.now);
        cut.now += Milliseconds{500};
        sound.now = cut.now;
        // A connection alone may be to the process that follows.
        probeAll(sound, ProbeResult::Answered);
        sound.scheduler.onPeerCrashes(cut.scheduler.crashEvidence().knowledge(cut.now), sound.now);
        CPPUNIT_ASSERT(!sound.send(equalRequest(sound, "still refused")).has_value());
        answerAll(sound);
        sound.scheduler.onPeerCrashes(cut.scheduler.crashEvidence().knowledge(cut.now), sound.now);
        CPPUNIT_ASSERT(sound.send(equalRequest(sound, "sound")).has_value());
        cut.now = sound.now + Milliseconds{200};
        cut.scheduler.onPeerCrashes(sound.scheduler.crashEvidence().knowledge(sound.now), cut.now);
        CPPUNIT_ASSERT(cut.send(equalRequest(cut, "after")).has_value());
    }

    void upstreamThatGetsNoRepeatableRequestsIsUsedAgainAfterAFailedConnection()
    {
        PlacementFixture host(1, 1);
        auto info = equalRequest(host, "first");
        info.repeatable = false;
        info.resumable = false;
        const auto first = host.send(info);
        CPPUNIT_ASSERT(first.has_value());
        AttemptFailed failure{ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed};
        failure.notExecuted = true;
        (void)host.scheduler.onAttemptEnded(first->request, first->upstream, failure, host.now);
        host.scheduler.cancel(first->request, host.now);
        host.now += Milliseconds{10'000};
        const auto due = host.scheduler.dueProbes(host.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
        CPPUNIT_ASSERT_EQUAL(first->upstream, due.front().upstream);
        host.scheduler.onProbe(first->upstream, ProbeResult::Answered, host.now);
        info.id = "second";
        CPPUNIT_ASSERT(host.send(info).has_value());
    }

    void upstreamIsUsedAgainAfterManyOfItsConnectionsBroke()
    {
        PlacementFixture host(1, 1);
        auto info = equalRequest(host, "");
        info.repeatable = false;
        info.resumable = false;
        for (int n = 0; n < 3; ++n) {
            info.id = "broken" + std::to_string(n);
            info.fingerprint[1] = static_cast<std::uint8_t>(n);
            const auto dispatch = host.send(info);
            CPPUNIT_ASSERT(dispatch.has_value());
            (void)host.scheduler.onAttemptEnded(dispatch->request, dispatch->upstream, brokenConnection(), host.now);
        }
        info.id = "none";
        CPPUNIT_ASSERT(!host.send(info).has_value());
        host.scheduler.cancel(info.id, host.now);
        host.scheduler.onProbe("u0", ProbeResult::Unreachable, host.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.scheduler.unreachablePools(host.now).size());
        host.now += Milliseconds{5'000};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.scheduler.dueProbes(host.now).size());
        host.scheduler.onProbe("u0", ProbeResult::Answered, host.now);
        info.id = "after";
        CPPUNIT_ASSERT(host.send(info).has_value());
    }

    void probesUnderWayAreBoundedAndEachUpstreamHasItsTurn()
    {
        ConnectionProbes probes(1);
        for (std::uint64_t n = 0; n < 400; ++n) {
            probes.schedule(n, m_now);
        }
        std::set<std::uint64_t> probed;
        std::vector<std::uint64_t> underWay;
        for (auto now = m_now; now < m_now + std::chrono::seconds{60}; now += Milliseconds{500}) {
            for (int n = 0; n < 10; ++n) {
                const auto due = probes.takeDue(now);
                underWay.insert(underWay.end(), due.begin(), due.end());
            }
            CPPUNIT_ASSERT(underWay.size() <= 8);
            probed.insert(underWay.begin(), underWay.end());
            for (const auto it : underWay) {
                probes.onFailed(it, now + Milliseconds{400});
            }
            underWay.clear();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{400}, probed.size());
    }

    void upstreamsThatCannotBeReachedAreProbedLessAndLessOften()
    {
        ConnectionProbes probes(1);
        for (std::uint64_t n = 0; n < 100; ++n) {
            probes.schedule(n, m_now);
        }
        std::size_t count = 0;
        std::size_t most = 0;
        for (auto now = m_now; now < m_now + std::chrono::seconds{20}; now += Milliseconds{50}) {
            const auto due = probes.takeDue(now);
            count += due.size();
            most = std::max(most, due.size());
            for (const auto it : due) {
                probes.onFailed(it, now);
            }
        }
        CPPUNIT_ASSERT(most <= 8);
        constexpr std::size_t mostOfOne = 16;
        constexpr std::size_t leastOfOne = 6;
        CPPUNIT_ASSERT(count <= mostOfOne * 100);
        CPPUNIT_ASSERT(count >= leastOfOne * 100);
    }

    void firstConnectionAfterACutHasAllOthersProbedAtOnce()
    {
        ConnectionProbes probes(1);
        for (std::uint64_t n = 0; n < 6; ++n) {
            probes.schedule(n, m_now);
        }
        auto now = m_now;
        for (int n = 0; n < 6; ++n, now += std::chrono::seconds{5}) {
            for (const auto it : probes.takeDue(now)) {
                probes.onFailed(it, now);
            }
        }
        now -= std::chrono::seconds{5};
        CPPUNIT_ASSERT(probes.takeDue(now).empty());
        probes.onConnected(0, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, probes.takeDue(now).size());
    }

    // Guards against a host that loses a request at each upstream before it finds out that it reaches none.
    void cutWithOpenConnectionsIsFoundByOneFailure()
    {
        PlacementFixture host(1, 12);
        failLate(host);
        const auto probes = probeUntilQuiet(host, [](const UpstreamId &) { return ProbeResult::Unanswered; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.scheduler.unreachablePools(host.now).size());
        CPPUNIT_ASSERT(probes <= 40);
    }

    void upstreamThatServesIsNotLostForAConnectionThatItTurnedAway()
    {
        PlacementFixture host(1, 1);
        const auto dispatch = host.send(host.request(1));
        CPPUNIT_ASSERT(host.scheduler.onFirstToken(dispatch->request, dispatch->upstream, host.now));
        host.scheduler.onProbe("u0", ProbeResult::Unanswered, host.now);
        CPPUNIT_ASSERT(host.scheduler.unreachablePools(host.now).empty());
        host.now += Milliseconds{1'000};
        host.scheduler.onProbe("u0", ProbeResult::Unanswered, host.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.scheduler.unreachablePools(host.now).size());
    }

    void oneUpstreamWithoutAnswersLeavesTheOthersReached()
    {
        PlacementFixture host(1, 12);
        const auto broken = failLate(host);
        const auto probes = probeUntilQuiet(host, [&](const UpstreamId &id) { return id == broken ? ProbeResult::Unanswered : ProbeResult::Answered; });
        CPPUNIT_ASSERT(host.scheduler.unreachablePools(host.now).empty());
        CPPUNIT_ASSERT(probes <= 8);
        for (std::uint64_t prefix = 0; prefix < 20; ++prefix) {
            CPPUNIT_ASSERT(host.send(host.request(prefix))->upstream != broken);
        }
    }

    // Guards against a pool that counts as unreachable under overload, as its upstreams turn new connections away.
    void fullUpstreamsThatResetNewConnectionsAreNotLostWhileStreamsRun()
    {
        PlacementFixture host(1, 4);
        std::vector<DispatchAction> streams;
        for (std::uint64_t prefix = 0; prefix < 40; ++prefix) {
            streams.push_back(*host.send(host.request(prefix)));
            CPPUNIT_ASSERT(host.scheduler.onFirstToken(streams.back().request, streams.back().upstream, host.now));
        }
        const auto late = *host.send(host.request(99));
        for (int n = 0; n < 100; ++n) {
            host.now += Milliseconds{50};
            for (const auto &it : streams) {
                host.scheduler.onTokens(it.request, 1, host.now);
            }
            if (n == 40) {
                AttemptFailed failure{ResultCode::UpstreamTimeout, RetryReason::FirstTokenLate};
                (void)host.scheduler.onAttemptEnded(late.request, late.upstream, failure, host.now);
                host.scheduler.onProbe(late.upstream, ProbeResult::Unanswered, host.now);
            }
            for (const auto &it : host.scheduler.dueProbes(host.now)) {
                host.scheduler.onProbe(it.upstream, ProbeResult::Unanswered, host.now);
            }
        }
        CPPUNIT_ASSERT(host.scheduler.unreachablePools(host.now).empty());
        CPPUNIT_ASSERT(host.send(host.request(100)).has_value());
    }

    void upstreamIsNotProbedWhileItWantsNoRequests()
    {
        PlacementFixture host(1, 1);
        (void)failLate(host);
        host.scheduler.onPauseRequested("u0", Milliseconds{3'000}, host.now);
        host.now += Milliseconds{2'900};
        (void)host.step();
        CPPUNIT_ASSERT(host.scheduler.dueProbes(host.now).empty());
        host.now += Milliseconds{200};
        (void)host.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.scheduler.dueProbes(host.now).size());
    }

private:
    // Sends a request that gets no answer in time; returns its upstream.
    static UpstreamId failLate(PlacementFixture &host)
    {
        const auto dispatch = host.send(host.request(1));
        (void)host.scheduler.onAttemptEnded(
            dispatch->request, dispatch->upstream, AttemptFailed{ResultCode::UpstreamTimeout, RetryReason::FirstTokenLate}, host.now);
        return dispatch->upstream;
    }
    // Plays one second; returns the number of probes.
    template <typename Function>
    static std::size_t probeUntilQuiet(PlacementFixture &host, Function &&resultOf)
    {
        std::size_t probes = 0;
        for (const auto end = host.now + Milliseconds{1'000}; host.now < end; host.now += Milliseconds{20}) {
            for (const auto &it : host.scheduler.dueProbes(host.now)) {
                ++probes;
                host.scheduler.onProbe(it.upstream, resultOf(it.upstream), host.now);
            }
        }
        return probes;
    }

    static RequestInfo equalRequest(PlacementFixture &host, const std::string &id)
    {
        auto info = host.request(42);
        info.id = id;
        info.fingerprint = {};
        return info;
    }

    // Breaks the connections of three equal requests at three upstreams at once; returns the upstreams.
    static std::vector<UpstreamId> breakEqualRequests(PlacementFixture &host)
    {
        std::vector<UpstreamId> upstreams;
        auto info = equalRequest(host, "polled");
        info.maxAttempts = 4;
        auto dispatch = host.send(info);
        while (dispatch && upstreams.size() < 3) {
            upstreams.push_back(dispatch->upstream);
            const auto end = host.scheduler.onAttemptEnded(dispatch->request, dispatch->upstream, brokenConnection(), host.now);
            dispatch = std::holds_alternative<RetryQueued>(end) ? host.step() : std::nullopt;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, upstreams.size());
        host.scheduler.cancel(info.id, host.now);
        return upstreams;
    }

    // Has each upstream answer requests.
    static void answerAll(PlacementFixture &host)
    {
        for (std::uint64_t n = 1; n <= 60; ++n) {
            const auto dispatch = host.send(host.request(n * 7'919));
            CPPUNIT_ASSERT(dispatch.has_value());
            (void)host.scheduler.onAttemptEnded(dispatch->request, dispatch->upstream, AttemptCompleted{}, host.now);
        }
    }

    static void probeAll(PlacementFixture &host, ProbeResult result)
    {
        for (const auto &[id, it] : host.configuration.upstreams) {
            host.scheduler.onProbe(id, result, host.now);
        }
    }

    SteadyTime m_now{std::chrono::seconds{1'000}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostLinksTest);

} // namespace guavafield::test
