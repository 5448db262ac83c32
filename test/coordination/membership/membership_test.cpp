// Tests of the membership protocol on a simulated network: failures must be detected, and running hosts not declared dead.
#include "bench/membership/simulated_network.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace guavafield {

using simulation::Fleet;
using simulation::FleetSettings;

namespace {

constexpr std::uint64_t testSeed = 20'261;
constexpr Milliseconds joinLimit{600'000};

FleetSettings fleetOf(std::size_t hosts, std::size_t dataCentres = 3)
{
    FleetSettings settings;
    settings.hosts = hosts;
    settings.dataCentres = dataCentres;
    settings.seed = testSeed;
    return settings;
}

void startAndJoin(Fleet &fleet)
{
    std::cout << " seed " << testSeed << std::flush;
    fleet.startAll();
    CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.converged(); }, joinLimit));
    // Waits until the gossip about the joins has ended.
    fleet.run(Milliseconds{60'000});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.oversized());
}

double bytesPerHostSecond(const Fleet &fleet, std::uint64_t before, Milliseconds duration)
{
    return static_cast<double>(fleet.traffic().bytes - before) * 1000 / static_cast<double>(fleet.size()) / static_cast<double>(duration.count());
}

/*! @brief Counts changes of members to a state, over all hosts. */
class StateCount
{
public:
    StateCount(Fleet &fleet, MemberState state) : m_fleet(fleet)
    {
        fleet.setObserver([this, state](std::size_t, const MembershipAction &action) {
            const auto *changed = std::get_if<MemberChanged>(&action);
            m_count += changed != nullptr && changed->member.state == state ? 1 : 0;
        });
    }
    ~StateCount()
    {
        m_fleet.setObserver({});
    }
    StateCount(const StateCount &) = delete;
    StateCount &operator=(const StateCount &) = delete;

    [[nodiscard]] std::size_t count() const noexcept
    {
        return m_count;
    }

private:
    Fleet &m_fleet;
    std::size_t m_count{0};
};

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(deathIsDetectedByAll);
    CPPUNIT_TEST(shortOutageIsRefuted);
    CPPUNIT_TEST(packetLossCausesNoDeaths);
    CPPUNIT_TEST(pausedHostSuspectsNobody);
    CPPUNIT_TEST(partitionHeals);
    CPPUNIT_TEST(restartedHostIsRecognized);
    CPPUNIT_TEST(leavingHostIsNeverSuspected);
    CPPUNIT_TEST(knowledgeIsNeverFresherThanItsSource);
    CPPUNIT_TEST(updatesReachAllAndDemandStaysLocal);
    CPPUNIT_TEST(largeFleetStaysWithinBudget);
    CPPUNIT_TEST(restartsStayWithinBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    // A stopped host must be detected, and all hosts must be told.
    void deathIsDetectedByAll()
    {
        Fleet fleet(fleetOf(33));
        startAndJoin(fleet);
        fleet.kill(7);
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.countHostsSeeing(7, MemberState::Dead) == 32; }, Milliseconds{12'000}));
    }

    // A host that is unreachable for a short time must be able to refute, and not be declared dead.
    void shortOutageIsRefuted()
    {
        Fleet fleet(fleetOf(33));
        startAndJoin(fleet);
        fleet.setReachable([](std::size_t from, std::size_t to) { return from != 4 && to != 4; });
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.countHostsSeeing(4, MemberState::Suspect) > 0; }, Milliseconds{10'000}));
        fleet.setReachable({});
        const StateCount deaths(fleet, MemberState::Dead);
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.converged(); }, Milliseconds{20'000}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, deaths.count());
        CPPUNIT_ASSERT(fleet.membership(4).self().refutation > 0);
    }

    // Losing single datagrams must not lead to a declared death.
    void packetLossCausesNoDeaths()
    {
        Fleet fleet(fleetOf(33));
        startAndJoin(fleet);
        const StateCount deaths(fleet, MemberState::Dead);
        fleet.setLoss(0.01);
        fleet.run(Milliseconds{600'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, deaths.count());
    }

    // A process that was paused receives no answers and must not suspect its peers for it.
    void pausedHostSuspectsNobody()
    {
        Fleet fleet(fleetOf(33));
        startAndJoin(fleet);
        std::size_t suspicions = 0;
        fleet.setObserver([&](std::size_t, const MembershipAction &action) {
            const auto *changed = std::get_if<MemberChanged>(&action);
            const bool suspects = changed != nullptr && (changed->member.state == MemberState::Suspect || changed->member.state == MemberState::Dead);
            suspicions += suspects && changed->member.id != Fleet::idOf(5) ? 1 : 0;
        });
        fleet.pause(5, Milliseconds{20'000});
        fleet.run(Milliseconds{19'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, fleet.countHostsSeeing(5, MemberState::Dead));
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.converged(); }, Milliseconds{60'000}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, suspicions);
    }

    // The two sides of a partition must find each other after it has healed.
    void partitionHeals()
    {
        Fleet fleet(fleetOf(33));
        startAndJoin(fleet);
        fleet.setReachable([&](std::size_t from, std::size_t to) { return (fleet.dataCentreOf(from) == 0) == (fleet.dataCentreOf(to) == 0); });
        fleet.run(Milliseconds{120'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{22}, fleet.countHostsSeeing(0, MemberState::Dead));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{11}, fleet.membership(0).hostsInDataCentre());
        fleet.setReachable({});
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.converged(); }, Milliseconds{120'000}));
    }

    // A new incarnation must replace the old one, and late statements about the old one must be ignored.
    void restartedHostIsRecognized()
    {
        Fleet fleet(fleetOf(9));
        startAndJoin(fleet);
        const auto old = fleet.membership(3).self();
        fleet.start(3);
        const auto known = [&](std::size_t n) {
            const auto *entry = fleet.membership(n).table().find(old.id);
            return entry != nullptr && entry->member.incarnation > old.incarnation && entry->member.state == MemberState::Alive;
        };
        const auto knownByAll = [&] {
            std::size_t count = 0;
            for (std::size_t n = 0; n < fleet.size(); ++n) {
                count += n != 3 && known(n) ? 1 : 0;
            }
            return count == fleet.size() - 1;
        };
        CPPUNIT_ASSERT(fleet.runUntil(knownByAll, Milliseconds{30'000}));
        MemberTable table("dc-0");
        CPPUNIT_ASSERT(table.apply(fleet.membership(3).self(), fleet.now()) == MemberTable::Effect::Changed);
        auto late = old;
        late.state = MemberState::Dead;
        late.refutation = 9;
        CPPUNIT_ASSERT(table.apply(late, fleet.now()) == MemberTable::Effect::Ignored);
    }

    // A planned stop must not cause suspicions, which cost traffic on all hosts.
    void leavingHostIsNeverSuspected()
    {
        Fleet fleet(fleetOf(9));
        startAndJoin(fleet);
        const StateCount suspicions(fleet, MemberState::Suspect);
        fleet.withMembership(2, [](Membership &membership, SteadyTime now) { return membership.leave(now); });
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.countHostsSeeing(2, MemberState::Leaving) == 8; }, Milliseconds{10'000}));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, fleet.membership(5).hostsInDataCentre());
        fleet.kill(2);
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.countHostsSeeing(2, MemberState::Dead) == 8; }, Milliseconds{20'000}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, suspicions.count());
    }

    // The age of a confirmation must never be understated, even on a host that reads old datagrams after a pause.
    void knowledgeIsNeverFresherThanItsSource()
    {
        Fleet fleet(fleetOf(9));
        startAndJoin(fleet);
        const auto confirmed = fleet.now();
        fleet.membership(0).confirmRevision({42, Milliseconds{0}}, confirmed);
        fleet.pause(6, Milliseconds{40'000});
        fleet.run(Milliseconds{45'000});
        for (std::size_t n = 0; n < fleet.size(); ++n) {
            const auto knowledge = fleet.membership(n).newestRevision(fleet.now());
            CPPUNIT_ASSERT(knowledge.has_value());
            CPPUNIT_ASSERT_EQUAL(Revision{42}, knowledge->revision);
            CPPUNIT_ASSERT(knowledge->age >= std::chrono::duration_cast<Milliseconds>(fleet.now() - confirmed));
        }
    }

    // Withdrawals and crash records must reach all hosts, and demand all hosts of its data centre but no others.
    void updatesReachAllAndDemandStaysLocal()
    {
        Fleet fleet(fleetOf(33));
        startAndJoin(fleet);
        std::size_t withdrawals = 0;
        std::size_t crashes = 0;
        std::vector<bool> demand(fleet.size());
        fleet.setObserver([&](std::size_t host, const MembershipAction &action) {
            withdrawals += std::holds_alternative<WithdrawalReceived>(action) ? 1 : 0;
            crashes += std::holds_alternative<CrashReceived>(action) ? 1 : 0;
            demand[host] = demand[host] || std::holds_alternative<DemandReceived>(action);
        });
        fleet.withMembership(0, [](Membership &membership, SteadyTime now) { return membership.announceWithdrawal("key-1", now); });
        fleet.withMembership(0, [](Membership &membership, SteadyTime now) { return membership.announceCrash({Digest{1}, Milliseconds{600'000}}, now); });
        fleet.membership(0).setDemand({{"team", 10}}, fleet.now());
        fleet.run(Milliseconds{10'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, withdrawals);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, crashes);
        for (std::size_t n = 1; n < fleet.size(); ++n) {
            CPPUNIT_ASSERT_EQUAL(fleet.dataCentreOf(n) == 0, static_cast<bool>(demand[n]));
        }
        fleet.setObserver({});
    }

    // Traffic and detection time must not grow with the number of hosts.
    void largeFleetStaysWithinBudget()
    {
        Fleet fleet(fleetOf(330, 12));
        fleet.startWithFullMemberList();
        // The initial synchronization of the hosts takes about two minutes at this size.
        fleet.run(Milliseconds{180'000});
        CPPUNIT_ASSERT(fleet.converged());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.oversized());
        const auto before = fleet.traffic().bytes;
        const Milliseconds duration{20'000};
        fleet.run(duration);
        CPPUNIT_ASSERT(bytesPerHostSecond(fleet, before, duration) < 1200);
        fleet.kill(100);
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.countHostsSeeing(100, MemberState::Dead) == 329; }, Milliseconds{15'000}));
    }

    // Joins must not exhaust the budget. One restart per minute is six times the planned rate.
    void restartsStayWithinBudget()
    {
        Fleet fleet(fleetOf(110, 12));
        fleet.startWithFullMemberList();
        fleet.run(Milliseconds{60'000});
        const auto before = fleet.traffic().bytes;
        for (std::size_t n = 0; n < 10; ++n) {
            fleet.start(n * 11);
            fleet.run(Milliseconds{60'000});
        }
        CPPUNIT_ASSERT(bytesPerHostSecond(fleet, before, Milliseconds{600'000}) < 1200);
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.converged(); }, Milliseconds{60'000}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace guavafield
