// Tests of fair sharing: isolation between teams and full use of the capacity.
#include <guavafield/coordination/request/admission/fair_queue.hpp>
#include <support/request/scheduler_fixture.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>

namespace guavafield {

class FairnessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairnessTest);
    CPPUNIT_TEST(serviceIsProportionalToShares);
    CPPUNIT_TEST(floodingTeamLeavesOthersTheirShare);
    CPPUNIT_TEST(onlyActiveTeamUsesAllSlots);
    CPPUNIT_TEST(idleTeamAccruesNoCredit);
    CPPUNIT_TEST(serviceOnPeersIsCharged);
    CPPUNIT_TEST_SUITE_END();

public:
    // With all teams backlogged, the normalized service of two teams differs by at most one request.
    void serviceIsProportionalToShares()
    {
        const bool holds = rc::check("service by share is equal within one request", [] {
            const auto shares = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 20));
            FairQueue queue;
            std::deque<RequestEntry> entries;
            std::vector<double> served(shares.size(), 0);
            for (std::size_t team = 0; team < shares.size(); ++team) {
                for (int n = 0; n < 2; ++n) {
                    queue.push(add(entries, team, shares[team]));
                }
            }
            constexpr double largestCost = 50;
            for (int n = 0; n < 600; ++n) {
                auto &entry = *queue.front({});
                const auto team = static_cast<std::size_t>(std::stoul(entry.info.team));
                const double cost = *rc::gen::inRange(1, static_cast<int>(largestCost));
                queue.take(entry);
                queue.charge(entry.info, cost);
                served[team] += cost;
                queue.push(add(entries, team, shares[team]));
            }
            for (std::size_t left = 0; left < shares.size(); ++left) {
                for (std::size_t right = 0; right < shares.size(); ++right) {
                    const double difference = served[left] / shares[left] - served[right] / shares[right];
                    RC_ASSERT(difference <= largestCost / shares[left] + largestCost / shares[right]);
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // A team that floods the queue must not delay others: a team within its share is served completely.
    void floodingTeamLeavesOthersTheirShare()
    {
        SchedulerFixture fixture(4);
        int offered = 0;
        for (int n = 0; n < 600; ++n) {
            for (int burst = 0; burst < 20; ++burst) {
                (void)fixture.submit(fixture.request("huge", 2));
            }
            if (n % 5 == 0) {
                ++offered;
                (void)fixture.submit(fixture.request("small", 2));
            }
            fixture.run(Milliseconds{100});
        }
        fixture.run(Milliseconds{10'000});
        // The small team sends 2 requests per second; the capacity is 16 per second and half of it is its share.
        CPPUNIT_ASSERT_EQUAL(offered, fixture.completed["small"]);
        CPPUNIT_ASSERT(fixture.completed["huge"] > 600);
    }

    // No slots are reserved for teams that send nothing.
    void onlyActiveTeamUsesAllSlots()
    {
        SchedulerFixture fixture(4);
        for (int n = 0; n < 100; ++n) {
            for (int burst = 0; burst < 4; ++burst) {
                (void)fixture.submit(fixture.request("only", 3));
            }
            fixture.run(Milliseconds{100});
            if (n > 20) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{16}, fixture.running.size());
            }
        }
    }

    // A team must not accrue credit while idle and monopolize the queue afterwards.
    void idleTeamAccruesNoCredit()
    {
        FairQueue queue;
        std::deque<RequestEntry> entries;
        for (int n = 0; n < 100; ++n) {
            auto &entry = add(entries, 0, 1);
            queue.push(entry);
            queue.take(entry);
            queue.charge(entry.info, 10);
        }
        std::map<std::string, int> taken;
        for (int n = 0; n < 20; ++n) {
            queue.push(add(entries, 0, 1));
            queue.push(add(entries, 1, 1));
        }
        for (int n = 0; n < 20; ++n) {
            auto &entry = *queue.front({});
            queue.take(entry);
            queue.charge(entry.info, 10);
            ++taken[entry.info.team];
        }
        CPPUNIT_ASSERT(taken["0"] >= 9);
        CPPUNIT_ASSERT(taken["1"] >= 9);
    }

    // Service on peers counts towards the share, so that a team does not get its share once per host.
    void serviceOnPeersIsCharged()
    {
        SchedulerFixture fixture(4);
        for (int n = 0; n < 300; ++n) {
            for (const auto *team : {"here", "everywhere"}) {
                (void)fixture.submit(fixture.request(team, 2));
                (void)fixture.submit(fixture.request(team, 2));
            }
            if (n % 10 == 0) {
                const std::vector<TeamDemand> demand{{"everywhere", 300}};
                fixture.scheduler.onPeerDemand("other", demand, Milliseconds{200}, fixture.now);
            }
            fixture.run(Milliseconds{100});
        }
        CPPUNIT_ASSERT(fixture.completed["here"] > 2 * fixture.completed["everywhere"]);
        CPPUNIT_ASSERT(fixture.completed["everywhere"] > 0);
    }

private:
    static RequestEntry &add(std::deque<RequestEntry> &entries, std::size_t team, double share)
    {
        auto &entry = entries.emplace_back();
        entry.info.team = std::to_string(team);
        entry.info.className = "c";
        entry.info.share = share;
        entry.sequence = entries.size();
        entry.expectedCost = 10;
        return entry;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairnessTest);

} // namespace guavafield
