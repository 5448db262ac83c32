// Tests of upstreams that fall over when they have to reject too many requests, before hosts that know nothing of each other's requests.
#include "support/request/placement_fixture.hpp"

#include <guavafield/coordination/request/limits/brittle_room.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace guavafield::test {

namespace {

constexpr double rejectionsBorne = 2;
constexpr std::uint32_t slots = 6;
constexpr Milliseconds step{10};
constexpr Milliseconds runTime{60};
// The waiting room of each upstream shrinks so long after its first notice.
constexpr Milliseconds shrinksAfter{3'000};

// Hosts before upstreams that run as many requests as they have slots and let others wait, later none.
class BrittleService
{
public:
    BrittleService(std::size_t hosts, std::size_t upstreams, bool notice) : m_notice(notice), m_servers(upstreams)
    {
        for (std::size_t n = 0; n < hosts; ++n) {
            auto &host = *m_hosts.emplace_back(std::make_unique<PlacementFixture>(n + 1, static_cast<std::uint32_t>(upstreams)));
            host.configuration.pools["p"].engine.reset();
            for (auto &[id, it] : host.configuration.upstreams) {
                it.slots = slots;
            }
            host.scheduler.setFleetHosts(static_cast<std::uint32_t>(hosts), static_cast<std::uint32_t>(n), host.now);
            host.apply();
        }
    }

    void run(double requestsPerSecond, Milliseconds time)
    {
        std::poisson_distribution<int> arrivals(requestsPerSecond * std::chrono::duration<double>(step).count());
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            for (auto n = arrivals(m_random); n > 0; --n) {
                submit(*m_hosts[m_random() % m_hosts.size()]);
            }
            serve();
            for (auto &it : m_hosts) {
                it->now = SteadyTime{std::chrono::seconds{1'000}} + m_now;
                perform(*it);
            }
        }
    }

    std::size_t served{0};
    // Largest number of rejections by one upstream within a second, once waiting rooms may shrink.
    std::size_t mostRejections{0};

private:
    struct Run
    {
        PlacementFixture *host{nullptr};
        RequestId request;
        Milliseconds end{0};
    };
    struct Server
    {
        std::vector<Run> running;
        std::deque<Run> waiting;
        std::deque<Milliseconds> rejections;
    };

    void submit(PlacementFixture &host)
    {
        RequestInfo info = host.request(1);
        info.id = "r" + std::to_string(++m_lastId);
        info.prefixHashes.clear();
        info.prefixTokens.clear();
        info.firstTokenTarget = Milliseconds{300};
        info.totalTarget = Milliseconds{4'000};
        info.fingerprint[3] = static_cast<std::uint8_t>(m_lastId >> 16U);
        std::ignore = host.scheduler.submit(std::move(info), host.now);
    }

    void perform(PlacementFixture &host)
    {
        for (const auto &it : host.scheduler.step(host.now)) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&it)) {
                arrive(host, *dispatch);
            }
        }
    }

    void arrive(PlacementFixture &host, const DispatchAction &dispatch)
    {
        auto &server = m_servers[std::stoul(dispatch.upstream.substr(1))];
        const std::size_t room = m_now < shrinksAfter ? 24 : 0;
        if (server.running.size() < slots) {
            server.running.push_back({&host, dispatch.request, m_now + runTime});
        } else if (server.waiting.size() < room) {
            server.waiting.push_back({&host, dispatch.request, {}});
        } else {
            reject(server, host, dispatch);
        }
    }

    void reject(Server &server, PlacementFixture &host, const DispatchAction &dispatch)
    {
        server.rejections.push_back(m_now);
        while (m_now - server.rejections.front() >= std::chrono::seconds{1}) {
            server.rejections.pop_front();
        }
        mostRejections = std::max(mostRejections, server.rejections.size());
        AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
        failure.notExecuted = true;
        failure.answered = true;
        failure.rejected = true;
        tell(host, dispatch.upstream);
        std::ignore = host.scheduler.onAttemptEnded(dispatch.request, dispatch.upstream, failure, host.now);
    }

    void serve()
    {
        for (std::size_t n = 0; n < m_servers.size(); ++n) {
            auto &server = m_servers[n];
            const auto upstream = "u" + std::to_string(n);
            const auto ended = std::stable_partition(server.running.begin(), server.running.end(), [&](const Run &it) { return it.end > m_now; });
            for (auto it = ended; it != server.running.end(); ++it) {
                ++served;
                tell(*it->host, upstream);
                std::ignore = it->host->scheduler.onFirstToken(it->request, upstream, it->host->now);
                std::ignore = it->host->scheduler.onAttemptEnded(it->request, upstream, AttemptCompleted{}, it->host->now);
            }
            server.running.erase(ended, server.running.end());
            while (server.running.size() < slots && !server.waiting.empty()) {
                server.running.push_back(server.waiting.front());
                server.running.back().end = m_now + runTime;
                server.waiting.pop_front();
            }
        }
    }

    // Every answer has the notice.
    void tell(PlacementFixture &host, const UpstreamId &upstream) const
    {
        if (m_notice) {
            std::ignore = host.scheduler.onRejectionLimit(upstream, rejectionsBorne, host.now, host.now);
        }
    }

    bool m_notice;
    std::mt19937 m_random{42};
    Milliseconds m_now{0};
    std::uint32_t m_lastId{0};
    std::vector<std::unique_ptr<PlacementFixture>> m_hosts;
    std::vector<Server> m_servers;
};

} // namespace

class BrittleUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrittleUpstreamTest);
    CPPUNIT_TEST(hostsTogetherHaveNoMoreRejectedThanAnUpstreamBears);
    CPPUNIT_TEST(rejectionHasTheHostPauseAndUseLess);
    CPPUNIT_TEST(noticeEndsWithItsProcessAndWithAnAnswerWithoutIt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Above capacity, while waiting rooms shrink unannounced.
    void hostsTogetherHaveNoMoreRejectedThanAnUpstreamBears()
    {
        for (const auto &[hosts, upstreams] : {std::pair{9, 3}, std::pair{9, 12}, std::pair{30, 6}}) {
            const auto capacity = static_cast<double>(upstreams) * slots / std::chrono::duration<double>(runTime).count();
            BrittleService unaware(static_cast<std::size_t>(hosts), static_cast<std::size_t>(upstreams), false);
            unaware.run(1.2 * capacity, Milliseconds{8'000});
            CPPUNIT_ASSERT(unaware.mostRejections > rejectionsBorne);
            BrittleService aware(static_cast<std::size_t>(hosts), static_cast<std::size_t>(upstreams), true);
            aware.run(1.2 * capacity, Milliseconds{8'000});
            CPPUNIT_ASSERT_MESSAGE(std::to_string(aware.mostRejections), static_cast<double>(aware.mostRejections) <= rejectionsBorne);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(aware.served), static_cast<double>(aware.served) >= 0.5 * 8 * capacity);
        }
    }

    void rejectionHasTheHostPauseAndUseLess()
    {
        SteadyTime now{std::chrono::seconds{1'000}};
        BrittleRoom room(2, 8, 10, now);
        CPPUNIT_ASSERT(room.available(7, now));
        CPPUNIT_ASSERT(!room.available(8, now));
        room.onRejected(now);
        // One of ten hosts has a rejection each five seconds where the upstream bears two a second.
        CPPUNIT_ASSERT(!room.available(0, now + Milliseconds{4'999}));
        CPPUNIT_ASSERT(room.available(0, now + Milliseconds{5'000}));
        BrittleRoom other(10, 8, 10, now);
        other.onRejected(now);
        // Half of eight, and one more after a second.
        CPPUNIT_ASSERT(other.available(4, now + Milliseconds{1'000}));
        CPPUNIT_ASSERT(!other.available(5, now + Milliseconds{1'000}));
    }

    void noticeEndsWithItsProcessAndWithAnAnswerWithoutIt()
    {
        PlacementFixture host(1, 1);
        host.scheduler.setFleetHosts(64, 0, host.now);
        const auto sendAll = [&] {
            int sent = 0;
            for (int n = 0; n < 5; ++n) {
                const auto dispatch = host.send(host.request(static_cast<std::uint64_t>(n)));
                sent += dispatch ? 1 : 0;
                if (dispatch) {
                    host.scheduler.cancel(dispatch->request, host.now + Milliseconds{1});
                }
            }
            return sent;
        };
        // Of 64 slots and hosts, one is this host's.
        CPPUNIT_ASSERT(host.scheduler.onRejectionLimit("u0", 3, host.now, host.now));
        const auto first = host.send(host.request(1));
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT(!host.send(host.request(2)).has_value());
        // A request that was sent before the notice came says nothing.
        CPPUNIT_ASSERT(!host.scheduler.onRejectionLimit("u0", unlimitedRate, host.now - Milliseconds{5}, host.now));
        CPPUNIT_ASSERT(host.scheduler.onRejectionLimit("u0", unlimitedRate, host.now + Milliseconds{5}, host.now + Milliseconds{9}));
        CPPUNIT_ASSERT_EQUAL(5, sendAll());
        CPPUNIT_ASSERT(host.scheduler.onRejectionLimit("u0", 3, host.now + Milliseconds{20}, host.now + Milliseconds{20}));
        host.configuration.upstreams.at("u0").incarnation = 2;
        host.apply();
        CPPUNIT_ASSERT_EQUAL(5, sendAll());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrittleUpstreamTest);

} // namespace guavafield::test
