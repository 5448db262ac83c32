// Tests of the propagation limit: a change reaches all 330 hosts within 18 s, with and without gossip, within the platform's read rate.
#include <support/configuration_host.hpp>
#include <support/configuration_samples.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <random>

namespace guavafield {

using namespace std::chrono_literals;
using test::ConfigurationHost;
using test::MemoryPlatform;

namespace {

constexpr std::size_t hostCount = 330;
constexpr std::size_t dataCentres = 12;
constexpr auto tick = 50ms;
constexpr auto propagationLimit = 18s;
constexpr SteadyTime start{1'000s};

/*! @brief 330 followers in 12 data centres; replies take one tick, and each host probes another one every second. */
class Fleet
{
public:
    explicit Fleet(bool gossip) : m_gossip(gossip)
    {
        test::commitNext(platform.table, test::sampleChange(2, 1));
        for (std::size_t n = 0; n < hostCount; ++n) {
            m_hosts.push_back(std::make_unique<ConfigurationHost>("host-" + std::to_string(n), platform, now));
        }
        if (gossip) {
            for (std::size_t n = 0; n < hostCount; ++n) {
                for (auto peer = n % dataCentres; peer < hostCount; peer += dataCentres) {
                    m_hosts[n]->peers.push_back(m_hosts[peer].get());
                }
                std::shuffle(m_hosts[n]->peers.begin(), m_hosts[n]->peers.end(), m_random);
            }
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            now += tick;
            ++m_ticks;
            const auto reads = platform.table.counts().reads;
            for (std::size_t n = 0; n < hostCount; ++n) {
                auto &host = *m_hosts[n];
                for (auto &it : std::exchange(host.replies, {})) {
                    it(now);
                }
                if (m_gossip && (m_ticks + n) % 20 == 0) {
                    probe(host);
                }
                host.step(now);
            }
            maxReadsPerTick = std::max(maxReadsPerTick, platform.table.counts().reads - reads);
        }
    }

    /*! @brief Returns the time until all hosts have the revision in force, or the limit. */
    std::chrono::milliseconds timeUntil(Revision revision, std::chrono::milliseconds limit)
    {
        const auto from = now;
        while (now - from < limit && !std::ranges::all_of(m_hosts, [&](const auto &it) { return it->inForce->revision >= revision; })) {
            run(tick);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - from);
    }

    /*! @brief Returns the time until the key is withdrawn on all hosts, or the limit. */
    std::chrono::milliseconds timeUntilStopped(const KeyId &key, std::chrono::milliseconds limit)
    {
        const auto from = now;
        while (now - from < limit && !std::ranges::all_of(m_hosts, [&](const auto &it) { return it->inForce->keys.at(key).withdrawn; })) {
            run(tick);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - from);
    }

    ConfigurationHost &host(std::size_t n)
    {
        return *m_hosts[n];
    }

    MemoryPlatform platform;
    SteadyTime now{start};
    // Largest number of table reads in one tick.
    std::uint64_t maxReadsPerTick{0};

private:
    /*! @brief Probes a random host, in the same data centre nine times out of ten, and delivers the acknowledgement. */
    void probe(ConfigurationHost &host)
    {
        const bool local = m_random() % 10 != 0;
        auto &target = local ? *host.peers[m_random() % host.peers.size()] : *m_hosts[m_random() % hostCount];
        sendGossip(host, target);
        sendGossip(target, host);
    }

    void sendGossip(const ConfigurationHost &from, ConfigurationHost &to) const
    {
        if (const auto known = from.follower.knownRevision(now)) {
            to.follower.onPeerRevision(known->revision, known->age, now);
        }
        for (const auto &it : from.follower.recentWithdrawals(now)) {
            to.follower.onWithdrawal(it, now);
        }
    }

    bool m_gossip;
    std::mt19937 m_random{20'261'204};
    std::uint64_t m_ticks{0};
    std::vector<std::unique_ptr<ConfigurationHost>> m_hosts;
};

std::uint64_t readsPerSecond(Fleet &fleet, std::chrono::seconds time)
{
    const auto before = fleet.platform.table.counts().reads;
    fleet.maxReadsPerTick = 0;
    fleet.run(time);
    return (fleet.platform.table.counts().reads - before) / static_cast<std::uint64_t>(time.count());
}

} // namespace

class PropagationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PropagationTest);
    CPPUNIT_TEST(limitHoldsWithoutGossip);
    CPPUNIT_TEST(limitHoldsWithGossip);
    CPPUNIT_TEST(limitHoldsAfterAnOutage);
    CPPUNIT_TEST(withdrawalPropagatesAheadOfItsChange);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against polls that are too rare, or so frequent or synchronised that they exceed the platform's read rate.
    void limitHoldsWithoutGossip()
    {
        Fleet fleet(false);
        fleet.run(8s);
        const auto reads = readsPerSecond(fleet, 20s);
        // 4 reads per tick on average; without poll phases, all 330 hosts read in the same tick.
        CPPUNIT_ASSERT(fleet.maxReadsPerTick <= 20);
        const auto time = fleet.timeUntil(test::commitNext(fleet.platform.table, test::teamChange("t")), propagationLimit);
        std::cout << " [no gossip: " << reads << " reads/s, change everywhere after " << time.count() << " ms]";
        CPPUNIT_ASSERT(reads <= 84);
        CPPUNIT_ASSERT(time < propagationLimit);
    }

    // Guards against gossip that delays the propagation or adds table reads.
    void limitHoldsWithGossip()
    {
        Fleet fleet(true);
        fleet.run(8s);
        const auto reads = readsPerSecond(fleet, 20s);
        const auto before = fleet.platform.table.counts().reads;
        const auto time = fleet.timeUntil(test::commitNext(fleet.platform.table, test::teamChange("t")), propagationLimit);
        const auto changeReads = fleet.platform.table.counts().reads - before;
        std::cout << " [gossip: " << reads << " reads/s, change everywhere after " << time.count() << " ms with " << changeReads << " reads]";
        CPPUNIT_ASSERT(reads <= 84);
        CPPUNIT_ASSERT(time < propagationLimit);
    }

    // Guards against hosts that poll too late, or all at once, after an outage of the platform.
    void limitHoldsAfterAnOutage()
    {
        Fleet fleet(true);
        fleet.run(8s);
        fleet.platform.table.setOutage(true);
        fleet.run(120s);
        fleet.platform.table.setOutage(false);
        const auto time = fleet.timeUntil(test::commitNext(fleet.platform.table, test::teamChange("t")), propagationLimit);
        std::cout << " [after an outage: change everywhere after " << time.count() << " ms]";
        CPPUNIT_ASSERT(time < propagationLimit);
    }

    // Guards against a withdrawal that reaches hosts only with its change, which cannot be committed while the platform is down.
    void withdrawalPropagatesAheadOfItsChange()
    {
        Fleet fleet(true);
        fleet.run(8s);
        fleet.platform.table.setOutage(true);
        fleet.host(17).follower.onWithdrawal("team-0-a", fleet.now);
        const auto time = fleet.timeUntilStopped("team-0-a", propagationLimit);
        std::cout << " [withdrawal everywhere after " << time.count() << " ms]";
        CPPUNIT_ASSERT(time < propagationLimit);
        CPPUNIT_ASSERT(!fleet.host(3).inForce->keys.at("team-0-b").withdrawn);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropagationTest);

} // namespace guavafield
