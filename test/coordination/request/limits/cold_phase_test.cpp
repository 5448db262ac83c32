// Tests of the rate at which the hosts of a fleet together send to a cold upstream.
#include <guavafield/coordination/request/limits/cold_phase.hpp>
#include <guavafield/coordination/request/split_mix.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <string>
#include <vector>

namespace guavafield {

namespace {

constexpr Milliseconds step{20};
constexpr std::chrono::seconds window{1};
constexpr std::chrono::seconds coldTime{3};
constexpr std::uint64_t upstreamHash = 0x9E3779B97F4A7C15ULL;

// Most requests that a cold upstream bears in one second.
double mostInWindow(double perSecond)
{
    return 1.5 * perSecond + 5;
}

// The hosts of a fleet before one cold upstream. They learn at different times that it is cold and that a host has joined, some stand still for a while,
// and each sends a request whenever it may or, in some schedules, only with some probability.
class Schedule
{
public:
    Schedule(std::uint64_t seed, std::uint32_t hosts, double perSecond) : m_random(seed), m_perSecond(perSecond), m_hosts(hosts)
    {
        const bool joins = m_random.below(2) == 0;
        for (std::uint32_t n = 0; n < hosts; ++n) {
            auto &it = m_hosts[n];
            it.turn = {joins ? hosts - 1 : hosts, joins && n == hosts - 1 ? n - 1 : n, std::chrono::milliseconds{0}};
            it.coldAt = Milliseconds{static_cast<Milliseconds::rep>(m_random.below(1'000))};
            it.joinKnownAt = joins ? Milliseconds{static_cast<Milliseconds::rep>(500 + m_random.below(2'000))} : Milliseconds::max();
            it.frozenFrom = Milliseconds{static_cast<Milliseconds::rep>(m_random.below(6'000))};
        }
        m_demandPercent = m_random.below(2) == 0 ? 100 : 1 + m_random.below(60);
    }

    // Returns the most requests in any window.
    std::size_t run()
    {
        for (Milliseconds now{0}; now < Milliseconds{5'000}; now += step) {
            for (std::uint32_t n = 0; n < m_hosts.size(); ++n) {
                advance(m_hosts[n], n, now);
            }
            while (!m_sent.empty() && now - m_sent.front() >= window) {
                m_sent.pop_front();
            }
            m_most = std::max(m_most, m_sent.size());
        }
        return m_most;
    }

    [[nodiscard]] std::size_t total() const noexcept
    {
        return m_total;
    }
    [[nodiscard]] bool fullDemand() const noexcept
    {
        return m_demandPercent == 100;
    }

private:
    struct Host
    {
        FleetTurn turn;
        ColdPhase phase;
        Milliseconds coldAt{0};
        Milliseconds joinKnownAt{0};
        Milliseconds frozenFrom{0};
    };

    static SteadyTime steady(Milliseconds now)
    {
        return SteadyTime{std::chrono::hours{5}} + now;
    }

    void advance(Host &host, std::uint32_t index, Milliseconds now)
    {
        if (now >= host.coldAt && now < host.coldAt + step) {
            host.phase.extend(steady(now + coldTime), m_perSecond, upstreamHash, host.turn, steady(now));
        }
        if (now >= host.joinKnownAt && now < host.joinKnownAt + step) {
            host.turn.hosts = static_cast<std::uint32_t>(m_hosts.size());
            host.turn.index = index;
            host.phase.setTurn(upstreamHash, host.turn, steady(now));
        }
        const bool frozen = now >= host.frozenFrom && now < host.frozenFrom + Milliseconds{500};
        if (frozen || !host.phase.active(steady(now)) || m_random.below(100) >= m_demandPercent) {
            return;
        }
        while (host.phase.available(steady(now))) {
            host.phase.use(steady(now));
            m_sent.push_back(now);
            ++m_total;
        }
    }

    SplitMix m_random;
    double m_perSecond;
    std::vector<Host> m_hosts;
    std::uint64_t m_demandPercent{100};
    std::deque<Milliseconds> m_sent;
    std::size_t m_most{0};
    std::size_t m_total{0};
};

} // namespace

class ColdPhaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdPhaseTest);
    CPPUNIT_TEST(hostsTogetherSendAColdUpstreamNoMoreThanItBears);
    CPPUNIT_TEST(coldRateIsUsedWhereThereIsDemand);
    CPPUNIT_TEST(phaseIsExtendedAndNeverShortened);
    CPPUNIT_TEST(freshPermitIsForUrgentRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crash of a cold upstream under the sum of hosts that each keep to what they take for their part.
    void hostsTogetherSendAColdUpstreamNoMoreThanItBears()
    {
        constexpr std::array<std::pair<std::uint32_t, std::uint64_t>, 3> fleets{{{9, 8'000}, {74, 1'700}, {330, 300}}};
        constexpr std::array<double, 4> rates{1, 2, 8, 20};
        std::uint64_t seed = 0;
        for (const auto &[hosts, schedules] : fleets) {
            double nearest = 0;
            for (std::uint64_t n = 0; n < schedules; ++n) {
                const double perSecond = rates[n % rates.size()];
                const auto most = static_cast<double>(Schedule(++seed, hosts, perSecond).run());
                nearest = std::max(nearest, most / mostInWindow(perSecond));
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " hosts " + std::to_string(hosts) + " sent " + std::to_string(most),
                                       most <= mostInWindow(perSecond));
            }
            std::cout << "hosts " << hosts << ", schedules " << schedules << ", most of the bound " << nearest << "\n";
        }
    }

    // Guards against permits that are lost, so that a data centre comes back more slowly than its upstreams allow.
    void coldRateIsUsedWhereThereIsDemand()
    {
        for (const std::uint32_t hosts : {9U, 74U, 330U}) {
            for (const double perSecond : {8.0, 20.0}) {
                std::vector<ColdPhase> phases(hosts);
                const SteadyTime begin{std::chrono::hours{5}};
                std::size_t sent = 0;
                for (std::uint32_t n = 0; n < hosts; ++n) {
                    phases[n].extend(begin + std::chrono::seconds{10}, perSecond, upstreamHash, {hosts, n, {}}, begin);
                }
                for (auto now = begin; now < begin + std::chrono::seconds{10}; now += step) {
                    for (auto &it : phases) {
                        if (it.available(now)) {
                            it.use(now);
                            ++sent;
                        }
                    }
                }
                CPPUNIT_ASSERT(static_cast<double>(sent) >= 0.8 * perSecond * 10);
            }
        }
    }

    // Guards against less urgent requests that use up the permits of a host, so that its urgent ones are refused.
    void freshPermitIsForUrgentRequests()
    {
        const SteadyTime begin{std::chrono::hours{1}};
        ColdPhase phase;
        phase.extend(begin + std::chrono::seconds{10}, 1, upstreamHash, {2, 0, {}}, begin);
        auto now = begin;
        while (!phase.available(now, 0)) {
            now += Milliseconds{1};
        }
        CPPUNIT_ASSERT(!phase.available(now, 1) && !phase.available(now, ColdPhase::lowestPriority));
        now += SharedRateLimit::permitLifetime / 4;
        CPPUNIT_ASSERT(phase.available(now, 1) && !phase.available(now, ColdPhase::lowestPriority));
        now += SharedRateLimit::permitLifetime / 4;
        CPPUNIT_ASSERT(phase.available(now, ColdPhase::lowestPriority));
        phase.use(now);
        CPPUNIT_ASSERT(!phase.available(now, 0));
    }

    void phaseIsExtendedAndNeverShortened()
    {
        const SteadyTime now{std::chrono::hours{1}};
        ColdPhase phase;
        CPPUNIT_ASSERT(!phase.active(now) && phase.available(now));
        phase.extend(now + Milliseconds{2'000}, 8, upstreamHash, {1, 0, {}}, now);
        phase.extend(now + Milliseconds{1'000}, 8, upstreamHash, {1, 0, {}}, now);
        CPPUNIT_ASSERT(phase.active(now + Milliseconds{1'999}));
        phase.extend(now + Milliseconds{3'000}, 8, upstreamHash, {1, 0, {}}, now);
        CPPUNIT_ASSERT(phase.active(now + Milliseconds{2'999}) && !phase.active(now + Milliseconds{3'000}));
        CPPUNIT_ASSERT(phase.available(now + Milliseconds{3'000}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdPhaseTest);

} // namespace guavafield
