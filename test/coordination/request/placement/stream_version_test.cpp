// Tests of streams that have begun while servers of several software versions serve in one pool.
#include "support/request/placement_fixture.hpp"
#include "support/request/scheduler_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>
#include <random>
#include <set>
#include <tuple>

namespace guavafield {

using test::brokenConnection;
using test::PlacementFixture;

namespace {

const SoftwareVersion oldVersion = "v1";
const SoftwareVersion newVersion = "v2";

// Host with a pool of engines whose software versions are given in the order of their ids.
struct VersionedHost : PlacementFixture
{
    explicit VersionedHost(const std::vector<SoftwareVersion> &versions, std::uint64_t seed = 1)
        : PlacementFixture(seed, static_cast<std::uint32_t>(versions.size()))
    {
        for (std::size_t n = 0; n < versions.size(); ++n) {
            auto &upstream = configuration.upstreams["u" + std::to_string(n)];
            upstream.softwareVersion = versions[n];
            upstream.incarnation = 1;
        }
        apply();
    }

    // Submits a stream and returns its dispatch to an upstream of the version; others complete.
    DispatchAction sendTo(const SoftwareVersion &version)
    {
        for (std::uint64_t prefix = 0; prefix < 200; ++prefix) {
            const auto dispatch = send(request(prefix));
            if (dispatch && dispatch->softwareVersion == version) {
                return *dispatch;
            }
            if (dispatch) {
                complete(*dispatch, Milliseconds{50});
            }
        }
        CPPUNIT_FAIL("no upstream of the version was chosen");
        return {};
    }

    void begin(const DispatchAction &dispatch)
    {
        now += Milliseconds{50};
        CPPUNIT_ASSERT(scheduler.onFirstToken(dispatch.request, dispatch.upstream, now));
        scheduler.onTokens(dispatch.request, 1, now);
    }

    AttemptResolution breakOff(const DispatchAction &dispatch, bool begun = true)
    {
        auto failure = brokenConnection();
        failure.answerStarted = begun;
        return scheduler.onAttemptEnded(dispatch.request, dispatch.upstream, failure, now);
    }

    void replaceProcess(const UpstreamId &id, const SoftwareVersion &version)
    {
        auto &upstream = configuration.upstreams.at(id);
        ++upstream.incarnation;
        upstream.softwareVersion = version;
        apply();
    }
};

ResultCode refusalOf(const AttemptResolution &resolution)
{
    const auto *refused = std::get_if<Refused>(&resolution);
    return refused != nullptr ? refused->code : ResultCode::Ok;
}

// Host that queues for its upstreams: u0 runs the old version, the others run the new one.
struct VersionedQueue : SchedulerFixture
{
    explicit VersionedQueue(std::uint32_t upstreams, std::uint32_t slots = 1) : SchedulerFixture(upstreams, slots)
    {
        for (auto &[id, upstream] : configuration.upstreams) {
            upstream.softwareVersion = id == "u0" ? oldVersion : newVersion;
        }
        scheduler.applyConfiguration(configuration, now);
        serviceTime = Milliseconds{5'000};
    }

    // A stream of which the caller has events of this version.
    RequestInfo takenUp(const SoftwareVersion &version, Tier tier = 1)
    {
        auto info = request("t", tier);
        info.origin = version;
        return info;
    }
};

// Pool of random versions whose upstreams crash, leave, pause and come back, with streams that may have begun.
class RandomPool
{
public:
    explicit RandomPool(std::uint64_t seed) : m_random(seed), m_host(drawVersions(), seed) { }

    void run(int steps)
    {
        for (int n = 0; n < steps; ++n) {
            m_host.now += Milliseconds{20};
            changeUpstream();
            if (draw(3) == 0) {
                submit();
            }
            if (!m_running.empty()) {
                advance();
            }
            step();
            checkWaiting();
        }
    }

    int continued{0};

private:
    struct Stream
    {
        DispatchAction dispatch;
        // Empty before the first event.
        std::optional<SoftwareVersion> origin;
        bool begun{false};
        std::set<UpstreamId> tried;
        SteadyTime deadline{};
    };

    std::uint32_t draw(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(m_random() % bound);
    }
    SoftwareVersion drawVersion()
    {
        return "v" + std::to_string(draw(3));
    }
    std::vector<SoftwareVersion> drawVersions()
    {
        std::vector<SoftwareVersion> versions(3 + draw(6));
        std::ranges::generate(versions, [this] { return drawVersion(); });
        return versions;
    }

    void submit()
    {
        auto info = m_host.request(draw(20));
        info.maxAttempts = 6;
        Stream stream;
        if (draw(4) == 0) {
            info.origin = stream.origin = drawVersion();
        }
        stream.deadline = m_host.now + info.totalTarget;
        const auto id = info.id;
        if (std::holds_alternative<Queued>(m_host.scheduler.submit(std::move(info), m_host.now))) {
            m_waiting[id] = std::move(stream);
        }
    }

    // Brings an event of a running stream, breaks it or completes it.
    void advance()
    {
        auto it = m_running.begin();
        std::advance(it, draw(static_cast<std::uint32_t>(m_running.size())));
        auto &[id, stream] = *it;
        const auto &upstream = stream.dispatch.upstream;
        const auto choice = draw(4);
        if (choice < 2) {
            if (m_host.scheduler.onFirstToken(id, upstream, m_host.now)) {
                m_host.scheduler.onTokens(id, 1, m_host.now);
                stream.begun = true;
                stream.origin = stream.origin.value_or(stream.dispatch.softwareVersion);
            }
        } else if (choice == 2) {
            AttemptFailed failure{ResultCode::UpstreamIncomplete, RetryReason::ConnectFailed};
            failure.answerStarted = stream.begun;
            m_doubtfulUntil[upstream] = SteadyTime::max();
            if (std::holds_alternative<RetryQueued>(m_host.scheduler.onAttemptEnded(id, upstream, failure, m_host.now))) {
                m_waiting[id] = stream;
            }
            m_running.erase(it);
        } else {
            (void)m_host.scheduler.onAttemptEnded(id, upstream, AttemptCompleted{}, m_host.now);
            m_running.erase(it);
        }
    }

    void changeUpstream()
    {
        const auto id = "u" + std::to_string(draw(static_cast<std::uint32_t>(m_host.configuration.upstreams.size())));
        switch (draw(12)) {
        case 0:
            m_host.replaceProcess(id, drawVersion());
            m_doubtfulUntil.erase(id);
            break;
        case 1:
            m_doubtfulUntil[id] = std::max(m_doubtfulUntil[id], m_host.now + Milliseconds{200});
            m_host.scheduler.onPauseRequested(id, Milliseconds{200}, m_host.now);
            break;
        case 2:
            m_doubtfulUntil[id] = SteadyTime::max();
            std::ignore = m_host.scheduler.onDrainAnnounced(id, m_host.now);
            break;
        case 3:
            m_doubtfulUntil[id] = SteadyTime::max();
            m_host.scheduler.onUpstreamLeaving(id, Milliseconds{2'000}, m_host.now);
            break;
        default:
            break;
        }
    }

    void step()
    {
        for (const auto &it : m_host.scheduler.step(m_host.now)) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&it)) {
                onDispatch(*dispatch);
            } else if (const auto *shed = std::get_if<ShedAction>(&it)) {
                m_waiting.erase(shed->request);
            } else if (const auto *preemption = std::get_if<PreemptAction>(&it)) {
                m_waiting.insert(m_running.extract(preemption->request));
            }
        }
    }

    void onDispatch(const DispatchAction &dispatch)
    {
        auto node = m_waiting.extract(dispatch.request);
        CPPUNIT_ASSERT(!node.empty());
        auto &stream = node.mapped();
        CPPUNIT_ASSERT_EQUAL(m_host.configuration.upstreams.at(dispatch.upstream).softwareVersion, dispatch.softwareVersion);
        CPPUNIT_ASSERT_EQUAL(stream.origin.value_or(dispatch.softwareVersion), dispatch.softwareVersion);
        CPPUNIT_ASSERT(stream.tried.insert(dispatch.upstream).second);
        continued += stream.origin ? 1 : 0;
        stream.dispatch = dispatch;
        m_running.insert(std::move(node));
    }

    // An upstream without any trouble would have taken what still waits after a step.
    void checkWaiting() const
    {
        for (const auto &[request, stream] : m_waiting) {
            CPPUNIT_ASSERT(m_host.now <= stream.deadline);
            for (const auto &[id, upstream] : m_host.configuration.upstreams) {
                const auto doubtful = m_doubtfulUntil.find(id);
                const bool usable = doubtful == m_doubtfulUntil.end() || doubtful->second < m_host.now;
                const bool fits = stream.origin.value_or(upstream.softwareVersion) == upstream.softwareVersion;
                CPPUNIT_ASSERT(!usable || !fits || stream.tried.contains(id));
            }
        }
    }

    std::mt19937_64 m_random;
    // When an upstream certainly takes requests; those without an entry do now.
    std::map<UpstreamId, SteadyTime> m_doubtfulUntil;
    VersionedHost m_host;
    std::map<RequestId, Stream> m_waiting;
    std::map<RequestId, Stream> m_running;
};

} // namespace

class StreamVersionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamVersionTest);
    CPPUNIT_TEST(brokenStreamIsNotJoinedFromTwoVersions);
    CPPUNIT_TEST(streamWithoutEventsIsNotBoundToAVersion);
    CPPUNIT_TEST(upstreamsWithoutAVersionDoNotJoinVersionedStreams);
    CPPUNIT_TEST(versionOfTheWriterCountsNotThatOfItsSuccessor);
    CPPUNIT_TEST(streamOfAnUncertainWriterGoesOnNowhere);
    CPPUNIT_TEST(staleEntryDoesNotAppendAnotherVersion);
    CPPUNIT_TEST(eventsOfAnAttemptThatWasMovedAreNotPassedOn);
    CPPUNIT_TEST(streamDoesNotBeginAtAProcessWithoutAnEntry);
    CPPUNIT_TEST(begunStreamWaitsForTheEntryOfANewProcess);
    CPPUNIT_TEST(streamOfAProcessWithoutAnEntryGoesOnNowhere);
    CPPUNIT_TEST(streamOfANamedProcessGoesOnThoughAnotherHasFollowedIt);
    CPPUNIT_TEST(staleNewsOfAReplacementDoesNotMakeAWriterCertain);
    CPPUNIT_TEST(processThatNamesItselfAgainGetsStreams);
    CPPUNIT_TEST(begunStreamWaitsForAPausedUpstreamOfItsVersion);
    CPPUNIT_TEST(takenUpStreamIsNotRefusedWhileItsVersionIsPaused);
    CPPUNIT_TEST(streamOfAVersionThatIsGoneDoesNotWait);
    CPPUNIT_TEST(stalledStreamIsNotMovedToAnotherVersion);
    CPPUNIT_TEST(leavingUpstreamKeepsWhatNobodyElseMayFinish);
    CPPUNIT_TEST(boundStreamFetchesNoPrefixFromAnotherVersion);
    CPPUNIT_TEST(queuedStreamIsNotSentToAnotherVersion);
    CPPUNIT_TEST(streamThatWaitsForItsVersionDoesNotHoldUpOthers);
    CPPUNIT_TEST(queuedStreamOfAVersionThatIsGoneIsRefused);
    CPPUNIT_TEST(preemptionMakesRoomAtTheRightVersion);
    CPPUNIT_TEST(freeSlotsOfAnotherVersionDoNotPreventPreemption);
    CPPUNIT_TEST(hedgeOfATakenUpStreamKeepsItsVersion);
    CPPUNIT_TEST(begunStreamsKeepTheirVersionInRandomPools);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry within an answer at an upstream of another version.
    void brokenStreamIsNotJoinedFromTwoVersions()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            VersionedHost host({oldVersion, newVersion, newVersion, newVersion, oldVersion, newVersion}, seed);
            const auto first = host.sendTo(oldVersion);
            host.begin(first);
            CPPUNIT_ASSERT(std::holds_alternative<RetryQueued>(host.breakOff(first)));
            const auto second = host.step();
            CPPUNIT_ASSERT(second && second->upstream != first.upstream);
            CPPUNIT_ASSERT_EQUAL(oldVersion, second->softwareVersion);
        }
    }

    // Guards against a stream that is refused though the caller has nothing of it.
    void streamWithoutEventsIsNotBoundToAVersion()
    {
        VersionedHost host({oldVersion, newVersion});
        const auto first = host.sendTo(oldVersion);
        CPPUNIT_ASSERT(std::holds_alternative<RetryQueued>(host.breakOff(first, false)));
        CPPUNIT_ASSERT_EQUAL(newVersion, host.step()->softwareVersion);
    }

    // Guards against an entry without a version that is taken for any version.
    void upstreamsWithoutAVersionDoNotJoinVersionedStreams()
    {
        VersionedHost host({"", newVersion, "", newVersion});
        const auto first = host.sendTo("");
        host.begin(first);
        (void)host.breakOff(first);
        CPPUNIT_ASSERT_EQUAL(SoftwareVersion(), host.step()->softwareVersion);
    }

    // Guards against the version of the table at the time of the retry.
    void versionOfTheWriterCountsNotThatOfItsSuccessor()
    {
        VersionedHost host({oldVersion, newVersion, newVersion, oldVersion});
        const auto first = host.sendTo(oldVersion);
        host.begin(first);
        host.replaceProcess(first.upstream, newVersion);
        (void)host.breakOff(first);
        CPPUNIT_ASSERT_EQUAL(oldVersion, host.step()->softwareVersion);
    }

    // Guards against a version that is guessed where the process changed between the dispatch and the first event.
    void streamOfAnUncertainWriterGoesOnNowhere()
    {
        VersionedHost host({oldVersion, newVersion, newVersion, oldVersion});
        const auto first = host.sendTo(oldVersion);
        host.replaceProcess(first.upstream, newVersion);
        host.begin(first);
        CPPUNIT_ASSERT(ResultCode::StreamVersionGone == refusalOf(host.breakOff(first)));
    }

    // Guards against events of a process that took the id of an upstream after the stream had been sent there.
    void staleEntryDoesNotAppendAnotherVersion()
    {
        VersionedHost host({oldVersion, newVersion, oldVersion});
        const auto first = host.sendTo(oldVersion);
        host.begin(first);
        (void)host.breakOff(first);
        const auto second = host.step();
        host.replaceProcess(second->upstream, newVersion);
        CPPUNIT_ASSERT(!host.scheduler.onFirstToken(second->request, second->upstream, host.now));
    }

    // Guards against a first event that arrives while the stream is already on its way to another upstream.
    void eventsOfAnAttemptThatWasMovedAreNotPassedOn()
    {
        VersionedHost host({oldVersion, newVersion});
        const auto first = host.sendTo(oldVersion);
        host.scheduler.onUpstreamLeaving(first.upstream, Milliseconds{500}, host.now);
        const auto second = host.step();
        CPPUNIT_ASSERT(second && second->softwareVersion == newVersion);
        CPPUNIT_ASSERT(!host.scheduler.onFirstToken(first.request, first.upstream, host.now));
        CPPUNIT_ASSERT(host.scheduler.onFirstToken(second->request, second->upstream, host.now));
    }

    // Guards against a stream whose beginning nobody can tell the version of.
    void streamDoesNotBeginAtAProcessWithoutAnEntry()
    {
        VersionedHost host({oldVersion, oldVersion, oldVersion});
        host.scheduler.onProcessReplaced("u1", 1, host.now);
        for (std::uint64_t prefix = 0; prefix < 30; ++prefix) {
            const auto dispatch = host.send(host.request(prefix));
            CPPUNIT_ASSERT(dispatch && dispatch->upstream != "u1" && !dispatch->anyProcess);
            host.complete(*dispatch, Milliseconds{50});
        }
        auto repeatable = host.request(1);
        repeatable.resumable = false;
        host.configuration.upstreams.erase("u0");
        host.configuration.upstreams.erase("u2");
        host.apply();
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u1"), host.send(repeatable)->upstream);
    }

    // Guards against a join at an address that a new process has taken, and against a refusal though its entry comes in time.
    void begunStreamWaitsForTheEntryOfANewProcess()
    {
        VersionedHost host({oldVersion, newVersion, oldVersion});
        const auto first = host.sendTo(oldVersion);
        host.begin(first);
        const UpstreamId other = first.upstream == "u0" ? "u2" : "u0";
        (void)host.breakOff(first);
        const auto second = host.step();
        CPPUNIT_ASSERT_EQUAL(other, second->upstream);
        host.scheduler.onProcessReplaced(other, second->incarnation, host.now);
        AttemptFailed failure{ResultCode::UpstreamUnreachable, RetryReason::UpstreamReplaced};
        failure.notExecuted = true;
        failure.answerStarted = true;
        CPPUNIT_ASSERT(std::holds_alternative<RetryQueued>(host.scheduler.onAttemptEnded(second->request, other, failure, host.now)));
        host.now += Milliseconds{1'000};
        CPPUNIT_ASSERT(!host.step() && !host.refused);
        host.replaceProcess(other, oldVersion);
        CPPUNIT_ASSERT_EQUAL(other, host.step()->upstream);
    }

    // Guards against a version that is guessed where a stream had to begin at a process that no entry names.
    void streamOfAProcessWithoutAnEntryGoesOnNowhere()
    {
        VersionedHost host({oldVersion, oldVersion});
        host.scheduler.onProcessReplaced("u0", 1, host.now);
        host.scheduler.onProcessReplaced("u1", 1, host.now);
        const auto first = host.send(host.request(1));
        CPPUNIT_ASSERT(first && first->anyProcess);
        host.begin(*first);
        CPPUNIT_ASSERT(std::holds_alternative<Refused>(host.breakOff(*first)));
    }

    // Guards against a stream that ends though the process that wrote it is known.
    void streamOfANamedProcessGoesOnThoughAnotherHasFollowedIt()
    {
        VersionedHost host({oldVersion, newVersion, newVersion, oldVersion});
        const auto first = host.sendTo(oldVersion);
        host.scheduler.onProcessIdentified(first.request, first.upstream);
        host.replaceProcess(first.upstream, newVersion);
        host.begin(first);
        (void)host.breakOff(first);
        CPPUNIT_ASSERT_EQUAL(oldVersion, host.step()->softwareVersion);
    }

    // Guards against a guess about a stream that was sent to any process, when an older attempt reports late.
    void staleNewsOfAReplacementDoesNotMakeAWriterCertain()
    {
        VersionedHost host({oldVersion, oldVersion});
        host.replaceProcess("u0", oldVersion);
        host.scheduler.onProcessReplaced("u0", 2, host.now);
        host.scheduler.onProcessReplaced("u1", 1, host.now);
        const auto first = host.send(host.request(1));
        CPPUNIT_ASSERT(first && first->anyProcess);
        host.scheduler.onProcessReplaced("u0", 1, host.now);
        host.begin(*first);
        CPPUNIT_ASSERT(std::holds_alternative<Refused>(host.breakOff(*first)));
    }

    // Guards against an upstream that never gets a stream again after one wrong or early answer.
    void processThatNamesItselfAgainGetsStreams()
    {
        VersionedHost host({oldVersion});
        host.scheduler.onProcessReplaced("u0", 1, host.now);
        host.now += Milliseconds{1'000};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.scheduler.dueProbes(host.now).size());
        host.scheduler.onProcessListed("u0", 1);
        const auto dispatch = host.send(host.request(1));
        CPPUNIT_ASSERT(dispatch && !dispatch->anyProcess);
    }

    // Guards against a stream that is broken off though its version takes requests again in time.
    void begunStreamWaitsForAPausedUpstreamOfItsVersion()
    {
        VersionedHost host({oldVersion, newVersion, oldVersion});
        const auto first = host.sendTo(oldVersion);
        host.begin(first);
        const auto other = first.upstream == "u0" ? "u2" : "u0";
        host.scheduler.onPauseRequested(other, Milliseconds{2'000}, host.now);
        (void)host.breakOff(first);
        host.now += Milliseconds{1'900};
        CPPUNIT_ASSERT(!host.step() && !host.refused);
        host.now += Milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(UpstreamId(other), host.step()->upstream);
    }

    // Guards against the short wait of new requests for streams that only a few upstreams may go on with.
    void takenUpStreamIsNotRefusedWhileItsVersionIsPaused()
    {
        VersionedHost host({oldVersion, newVersion});
        host.scheduler.onPauseRequested("u0", Milliseconds{2'000}, host.now);
        auto info = host.request(42);
        info.origin = oldVersion;
        CPPUNIT_ASSERT(!host.send(info) && !host.refused);
        host.now += Milliseconds{1'900};
        CPPUNIT_ASSERT(!host.step() && !host.refused);
        host.now += Milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u0"), host.step()->upstream);
    }

    // Guards against a caller who waits in vain, and against a join with what is left.
    void streamOfAVersionThatIsGoneDoesNotWait()
    {
        VersionedHost host({oldVersion, newVersion});
        const auto first = host.sendTo(oldVersion);
        host.begin(first);
        host.configuration.upstreams.erase(first.upstream);
        host.apply();
        CPPUNIT_ASSERT(ResultCode::StreamVersionGone == refusalOf(host.breakOff(first)));
        auto info = host.request(42);
        info.origin = oldVersion;
        CPPUNIT_ASSERT(!host.send(info));
        CPPUNIT_ASSERT(ResultCode::StreamVersionGone == host.refused);
    }

    // Guards against a slow stream that is given up for an upstream that may not go on with it.
    void stalledStreamIsNotMovedToAnotherVersion()
    {
        VersionedHost host({oldVersion, newVersion, newVersion});
        for (int n = 0; n < 40; ++n) {
            const auto it = host.send(host.request(static_cast<std::uint64_t>(n)));
            host.complete(*it, Milliseconds{50});
        }
        const auto first = host.sendTo(oldVersion);
        CPPUNIT_ASSERT(host.scheduler.mayMove(first.request, host.now));
        host.begin(first);
        CPPUNIT_ASSERT(!host.scheduler.mayMove(first.request, host.now));
    }

    // Guards against a stream that is taken from its last upstream before that ends.
    void leavingUpstreamKeepsWhatNobodyElseMayFinish()
    {
        VersionedHost host({oldVersion, newVersion});
        const auto first = host.sendTo(oldVersion);
        host.begin(first);
        host.scheduler.onUpstreamLeaving(first.upstream, Milliseconds{500}, host.now);
        CPPUNIT_ASSERT(!host.step() && !host.refused);
        CPPUNIT_ASSERT(std::holds_alternative<RequestDone>(host.scheduler.onAttemptEnded(first.request, first.upstream, AttemptCompleted{}, host.now)));
    }

    // Guards against a prefix that is copied from, or expected at, an upstream of another version.
    void boundStreamFetchesNoPrefixFromAnotherVersion()
    {
        VersionedHost host({oldVersion, newVersion, oldVersion, newVersion});
        host.now += Milliseconds{20'000};
        for (std::uint64_t prefix = 0; prefix < 20; ++prefix) {
            for (int n = 0; n < 3; ++n) {
                auto info = host.request(prefix);
                info.origin = n == 0 ? std::nullopt : std::optional(oldVersion);
                const auto dispatch = host.send(info);
                CPPUNIT_ASSERT(n == 0 || dispatch->fetchFrom.empty() || host.configuration.upstreams.at(dispatch->fetchFrom).softwareVersion == oldVersion);
                host.complete(*dispatch, Milliseconds{50});
            }
        }
    }

    // Guards against a stream that is sent on in a pool whose host queues for the upstreams.
    void queuedStreamIsNotSentToAnotherVersion()
    {
        VersionedQueue host(4);
        for (int n = 0; n < 8; ++n) {
            host.submit(host.takenUp(oldVersion));
        }
        host.onAction = [](const SchedulerAction &it) {
            const auto *dispatch = std::get_if<DispatchAction>(&it);
            CPPUNIT_ASSERT(dispatch == nullptr || dispatch->upstream == "u0");
        };
        host.run(Milliseconds{12'000});
        CPPUNIT_ASSERT_EQUAL(3, host.dispatches);
    }

    // Guards against new requests that stand behind a stream which only a busy upstream may go on with.
    void streamThatWaitsForItsVersionDoesNotHoldUpOthers()
    {
        VersionedQueue host(3);
        host.submit(host.takenUp(oldVersion));
        host.step();
        host.submit(host.takenUp(oldVersion));
        host.submit(host.request("t", 1));
        host.submit(host.request("t", 1));
        host.run(Milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, host.running.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.scheduler.queued());
        host.run(Milliseconds{5'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.scheduler.queued());
        CPPUNIT_ASSERT(host.sheds.empty());
    }

    // Guards against a stream that stays in the queue though its version is gone.
    void queuedStreamOfAVersionThatIsGoneIsRefused()
    {
        VersionedQueue host(2);
        host.submit(host.takenUp("v0"));
        host.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.sheds.size());
        CPPUNIT_ASSERT(ResultCode::StreamVersionGone == host.sheds.front().second);
    }

    // Guards against a preempted slot that the stream which asked for it may not use.
    void preemptionMakesRoomAtTheRightVersion()
    {
        VersionedQueue host(2);
        host.submit(host.request("low", 3));
        host.submit(host.request("low", 3));
        host.run(Milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.running.size());
        const auto info = host.takenUp(oldVersion, 0);
        host.submit(info);
        host.run(Milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::string("u0"), host.running.at(info.id).upstream);
    }

    // Guards against a stream of the top tier that waits for a lower tier because another version has free slots.
    void freeSlotsOfAnotherVersionDoNotPreventPreemption()
    {
        VersionedQueue host(2);
        host.submit(host.takenUp(oldVersion, 3));
        host.run(Milliseconds{100});
        const auto info = host.takenUp(oldVersion, 0);
        host.submit(info);
        host.run(Milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::string("u0"), host.running.at(info.id).upstream);
    }

    // Guards against a second answer to a taken-up stream at another version.
    void hedgeOfATakenUpStreamKeepsItsVersion()
    {
        VersionedQueue host(4, 8);
        host.onAction = [](const SchedulerAction &it) {
            const auto *hedge = std::get_if<HedgeAction>(&it);
            CPPUNIT_ASSERT(hedge == nullptr || hedge->upstream == "u0");
        };
        host.submit(host.takenUp(oldVersion, 0));
        // No first token within the time of a hedge.
        for (int n = 0; n < 200; ++n) {
            host.now += Milliseconds{10};
            host.step();
        }
        CPPUNIT_ASSERT_EQUAL(0, host.retriesSent);
    }

    // Guards against a way to another version that the tests above do not go.
    void begunStreamsKeepTheirVersionInRandomPools()
    {
        const std::uint64_t base = 20'251;
        std::cout << "begunStreamsKeepTheirVersionInRandomPools: seeds " << base << " to " << base + 99 << '\n';
        int continued = 0;
        for (std::uint64_t seed = base; seed < base + 100; ++seed) {
            RandomPool pool(seed);
            pool.run(600);
            continued += pool.continued;
        }
        CPPUNIT_ASSERT(continued > 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionTest);

} // namespace guavafield
