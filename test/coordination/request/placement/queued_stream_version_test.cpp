// Random test of streams that have begun in a pool whose host queues for upstreams of several software versions.
#include "support/request/scheduler_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <optional>
#include <random>

namespace guavafield {

namespace {

// Upstreams crash, leave and come back with other versions, while tiers preempt each other and slow answers are hedged.
class RandomQueue
{
public:
    explicit RandomQueue(std::uint64_t seed) : m_random(seed), m_host(3 + draw(4), 2)
    {
        for (auto &[id, upstream] : m_host.configuration.upstreams) {
            upstream.softwareVersion = drawVersion();
            upstream.incarnation = 1;
        }
        m_host.scheduler.applyConfiguration(m_host.configuration, m_host.now);
    }

    void run(int steps)
    {
        for (int n = 0; n < steps; ++n) {
            m_host.now += Milliseconds{20};
            changeUpstream();
            if (draw(10) == 0) {
                submit();
            }
            advance();
            for (const auto &it : m_host.scheduler.step(m_host.now)) {
                std::visit([this](const auto &action) { perform(action); }, it);
            }
        }
    }

    int continued{0};
    int hedged{0};
    int preempted{0};

private:
    struct Stream
    {
        // Of the events that the caller has; empty before the first.
        std::optional<SoftwareVersion> origin;
        bool begun{false};
        // Versions of the upstreams at the dispatch.
        std::map<UpstreamId, SoftwareVersion> attempts;
    };

    std::uint32_t draw(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(m_random() % bound);
    }
    SoftwareVersion drawVersion()
    {
        return "v" + std::to_string(draw(3));
    }

    void submit()
    {
        auto info = m_host.request("t" + std::to_string(draw(3)), static_cast<Tier>(draw(tierCount)));
        info.prefixHashes = {draw(5)};
        Stream stream;
        if (draw(4) == 0) {
            info.origin = stream.origin = drawVersion();
        }
        const auto id = info.id;
        if (std::holds_alternative<Queued>(m_host.scheduler.submit(std::move(info), m_host.now))) {
            m_streams[id] = std::move(stream);
        }
    }

    // Brings an event to a running stream, breaks it or completes it.
    void advance()
    {
        if (m_streams.empty()) {
            return;
        }
        const auto it = std::next(m_streams.begin(), draw(static_cast<std::uint32_t>(m_streams.size())));
        auto &[id, stream] = *it;
        if (stream.attempts.empty()) {
            return;
        }
        const auto [upstream, version] = *stream.attempts.begin();
        switch (draw(20)) {
        case 0:
        case 1:
            if (m_host.scheduler.onFirstToken(id, upstream, m_host.now)) {
                m_host.scheduler.onTokens(id, 1, m_host.now);
                stream.attempts = {{upstream, version}};
                stream.begun = true;
                stream.origin = stream.origin.value_or(version);
            }
            break;
        case 2:
            fail(id, upstream, AttemptFailed{ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed});
            break;
        case 3:
            (void)m_host.scheduler.onAttemptEnded(id, upstream, AttemptCompleted{}, m_host.now);
            m_streams.erase(it);
            break;
        default:
            break;
        }
    }

    void fail(const RequestId &id, const UpstreamId &upstream, AttemptFailed failure)
    {
        auto &stream = m_streams.at(id);
        failure.answerStarted = stream.begun;
        stream.attempts.erase(upstream);
        if (!std::holds_alternative<RetryQueued>(m_host.scheduler.onAttemptEnded(id, upstream, failure, m_host.now))) {
            m_streams.erase(id);
        }
    }

    void crash(const UpstreamId &upstream)
    {
        AttemptFailed failure{ResultCode::UpstreamIncomplete, RetryReason::UpstreamCrashed};
        failure.upstreamCrashed = true;
        const auto before = m_streams;
        for (const auto &[id, stream] : before) {
            if (stream.attempts.contains(upstream)) {
                fail(id, upstream, failure);
            }
        }
    }

    void changeUpstream()
    {
        const auto id = "u" + std::to_string(draw(static_cast<std::uint32_t>(m_host.configuration.upstreams.size())));
        auto &upstream = m_host.configuration.upstreams.at(id);
        switch (draw(100)) {
        case 0:
            crash(id);
            break;
        case 1:
        case 2:
        case 3:
            ++upstream.incarnation;
            upstream.softwareVersion = drawVersion();
            m_host.scheduler.applyConfiguration(m_host.configuration, m_host.now);
            m_host.restart(id);
            break;
        case 4:
            m_host.scheduler.onUpstreamLeaving(id, Milliseconds{2'000}, m_host.now);
            break;
        default:
            break;
        }
    }

    void checkVersion(const RequestId &id, const UpstreamId &upstream)
    {
        const auto &version = m_host.configuration.upstreams.at(upstream).softwareVersion;
        auto &stream = m_streams.at(id);
        CPPUNIT_ASSERT_EQUAL(stream.origin.value_or(version), version);
        stream.attempts[upstream] = version;
    }

    void perform(const DispatchAction &action)
    {
        checkVersion(action.request, action.upstream);
        continued += m_streams.at(action.request).origin ? 1 : 0;
    }
    void perform(const RelayAction &action)
    {
        CPPUNIT_FAIL("request " + action.request + " is relayed although no other host is known");
    }

    void perform(const HedgeAction &action)
    {
        checkVersion(action.request, action.upstream);
        ++hedged;
    }
    void perform(const PreemptAction &action)
    {
        m_streams.at(action.request).attempts.erase(action.upstream);
        ++preempted;
    }
    void perform(const ShedAction &action)
    {
        m_streams.erase(action.request);
    }

    std::mt19937_64 m_random;
    SchedulerFixture m_host;
    std::map<RequestId, Stream> m_streams;
};

} // namespace

class QueuedStreamVersionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueuedStreamVersionTest);
    CPPUNIT_TEST(begunStreamsKeepTheirVersionInRandomQueues);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a probe, hedge, suspect's run or preemption that leads a stream to another version.
    void begunStreamsKeepTheirVersionInRandomQueues()
    {
        const std::uint64_t base = 30'251;
        std::cout << "begunStreamsKeepTheirVersionInRandomQueues: seeds " << base << " to " << base + 99 << '\n';
        int continued = 0;
        int hedged = 0;
        int preempted = 0;
        for (std::uint64_t seed = base; seed < base + 100; ++seed) {
            RandomQueue queue(seed);
            queue.run(3'000);
            continued += queue.continued;
            hedged += queue.hedged;
            preempted += queue.preempted;
        }
        std::cout << "continued " << continued << ", hedged " << hedged << ", preempted " << preempted << '\n';
        CPPUNIT_ASSERT(continued > 1'000 && hedged > 100 && preempted > 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueuedStreamVersionTest);

} // namespace guavafield
