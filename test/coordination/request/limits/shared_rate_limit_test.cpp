// Tests of permits for upstreams that grant all hosts one rate.
#include <guavafield/coordination/request/limits/shared_rate_limit.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace guavafield {

namespace {

constexpr Milliseconds step{20};
constexpr std::chrono::seconds window{4};
constexpr std::uint64_t upstreamHash = 0x9E3779B97F4A7C15ULL;

// Most requests that upstreams may get in the window, by the users' rule.
double mostInWindow(double perSecond)
{
    return 1.5 * perSecond * static_cast<double>(window.count()) + 5;
}

// Hosts with steady clocks of their own that use each permit at once.
class GreedyHosts
{
public:
    GreedyHosts(std::uint32_t hosts, double perSecond)
    {
        for (std::uint32_t n = 0; n < hosts; ++n) {
            const auto offset = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::hours{10} + n * std::chrono::minutes{7});
            m_turns.push_back({hosts, n, offset});
            m_limits.emplace_back(perSecond, upstreamHash, m_turns.back(), steadyTime(n));
        }
    }

    // Advances the time; the hosts send as fast as they may, or not at all.
    void run(std::chrono::milliseconds time, bool sending = true)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            for (std::size_t n = 0; sending && n < m_limits.size(); ++n) {
                send(n);
            }
        }
    }

    // Gives each host another turn, as when a host comes or goes.
    void rotate(double perSecond)
    {
        for (std::size_t n = 0; n < m_limits.size(); ++n) {
            m_turns[n].index = (m_turns[n].index + 1) % m_turns[n].hosts;
            m_limits[n] = SharedRateLimit(perSecond, upstreamHash, m_turns[n], steadyTime(n));
        }
    }

    // Takes the first host out of another host's list, or puts it back.
    void changeList(std::size_t host, bool withFirst, double perSecond)
    {
        auto &turn = m_turns[host];
        turn.hosts = static_cast<std::uint32_t>(withFirst ? m_turns.size() : m_turns.size() - 1);
        turn.index = static_cast<std::uint32_t>(withFirst ? host : host - 1);
        m_limits[host] = SharedRateLimit(perSecond, upstreamHash, turn, steadyTime(host));
    }

    [[nodiscard]] std::size_t sent() const noexcept
    {
        return m_sent.size();
    }
    [[nodiscard]] std::size_t mostSentInWindow() const
    {
        std::size_t most = 0;
        for (auto it = m_sent.begin(); it != m_sent.end(); ++it) {
            most = std::max(most, static_cast<std::size_t>(std::upper_bound(it, m_sent.end(), *it + window) - it));
        }
        return most;
    }

private:
    [[nodiscard]] SteadyTime steadyTime(std::size_t host) const
    {
        return SteadyTime{std::chrono::hours{500} + m_now - m_turns[host].clockOffset};
    }

    void send(std::size_t host)
    {
        while (m_limits[host].available(steadyTime(host))) {
            m_limits[host].use(steadyTime(host));
            m_sent.push_back(m_now);
        }
    }

    std::chrono::nanoseconds m_now{0};
    std::vector<FleetTurn> m_turns;
    std::vector<SharedRateLimit> m_limits;
    // Times of requests, ascending.
    std::vector<std::chrono::nanoseconds> m_sent;
};

} // namespace

class SharedRateLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedRateLimitTest);
    CPPUNIT_TEST(hostsTogetherKeepTheRateAndUseIt);
    CPPUNIT_TEST(unusedPermitsCauseNoBurst);
    CPPUNIT_TEST(changedTurnsCauseNoBurst);
    CPPUNIT_TEST(hostsThatDisagreeOnTheFleetKeepTheRate);
    CPPUNIT_TEST(extremeRatesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void hostsTogetherKeepTheRateAndUseIt()
    {
        constexpr std::chrono::seconds duration{60};
        for (const std::uint32_t hosts : {1U, 3U, 9U, 84U, 195U}) {
            for (const double perSecond : {0.5, 1.0, 3.9, 20.0}) {
                GreedyHosts fleet(hosts, perSecond);
                fleet.run(duration);
                const auto message = std::to_string(hosts) + " hosts, " + std::to_string(perSecond) + " a second";
                CPPUNIT_ASSERT_MESSAGE(message, static_cast<double>(fleet.mostSentInWindow()) <= mostInWindow(perSecond));
                CPPUNIT_ASSERT_MESSAGE(message, static_cast<double>(fleet.sent()) >= 0.9 * perSecond * static_cast<double>(duration.count()) - 1);
            }
        }
    }

    void unusedPermitsCauseNoBurst()
    {
        for (const std::uint32_t hosts : {1U, 9U, 195U}) {
            GreedyHosts fleet(hosts, 2);
            fleet.run(std::chrono::seconds{300}, false);
            fleet.run(std::chrono::seconds{10});
            CPPUNIT_ASSERT(static_cast<double>(fleet.mostSentInWindow()) <= mostInWindow(2));
        }
    }

    // While a large fleet starts or stops, the turns change several times a second.
    void changedTurnsCauseNoBurst()
    {
        GreedyHosts fleet(9, 2);
        for (int n = 0; n < 200; ++n) {
            fleet.rotate(2);
            fleet.run(Milliseconds{110});
        }
        CPPUNIT_ASSERT(static_cast<double>(fleet.mostSentInWindow()) <= mostInWindow(2));
        CPPUNIT_ASSERT(fleet.sent() > 0);
    }

    // The others learn at different times that a host is gone, while it still sends.
    void hostsThatDisagreeOnTheFleetKeepTheRate()
    {
        constexpr std::chrono::seconds spread{2};
        for (const std::size_t hosts : {3U, 9U, 84U}) {
            for (const double perSecond : {0.5, 2.0, 20.0}) {
                GreedyHosts fleet(static_cast<std::uint32_t>(hosts), perSecond);
                fleet.run(std::chrono::seconds{5});
                for (const bool withFirst : {false, true, false, true}) {
                    for (std::size_t n = 1; n < hosts; ++n) {
                        fleet.changeList(n, withFirst, perSecond);
                        fleet.run(Milliseconds(spread) / hosts);
                    }
                    fleet.run(std::chrono::seconds{1});
                }
                const auto message = std::to_string(hosts) + " hosts, " + std::to_string(perSecond) + " a second";
                CPPUNIT_ASSERT_MESSAGE(message, static_cast<double>(fleet.mostSentInWindow()) <= mostInWindow(perSecond));
                CPPUNIT_ASSERT_MESSAGE(message, fleet.sent() > 0);
            }
        }
    }

    // An upstream that takes nothing is still asked now and then, since only its answer can end that.
    void extremeRatesAreBounded()
    {
        GreedyHosts fleet(9, 0);
        fleet.run(std::chrono::seconds{100});
        CPPUNIT_ASSERT(fleet.sent() >= 1);
        CPPUNIT_ASSERT(static_cast<double>(fleet.mostSentInWindow()) <= mostInWindow(0));
        SharedRateLimit huge(1e300, upstreamHash, FleetTurn{}, SteadyTime{std::chrono::hours{1}});
        CPPUNIT_ASSERT(huge.available(SteadyTime{std::chrono::hours{1} + std::chrono::seconds{1}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedRateLimitTest);

} // namespace guavafield
