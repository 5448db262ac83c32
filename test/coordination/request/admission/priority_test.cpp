// Tests of priority: isolation of the top tier from lower tiers, and freedom from starvation.
#include <guavafield/coordination/request/admission/admission_control.hpp>
#include <support/request/scheduler_fixture.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <set>

namespace guavafield {

class PriorityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PriorityTest);
    CPPUNIT_TEST(topTierDecisionIgnoresLowerTiers);
    CPPUNIT_TEST(topTierIsServedUnderLowerTierOverload);
    CPPUNIT_TEST(everyClassIsServedUnderTopTierOverload);
    CPPUNIT_TEST(floorIntervalHoldsForAllTiers);
    CPPUNIT_TEST(priorsRefuseNoRequest);
    CPPUNIT_TEST(refusalsEndAfterSlowPhase);
    CPPUNIT_TEST_SUITE_END();

public:
    // Queues, slots and rates of lower tiers must not affect the admission of top-tier requests.
    void topTierDecisionIgnoresLowerTiers()
    {
        const bool holds = rc::check("the decision is the same with and without lower tiers", [] {
            const auto topQueued = *rc::gen::inRange(0, 12);
            const auto topRunning = *rc::gen::inRange<std::uint32_t>(0, 40);
            const auto target = *rc::gen::inRange(200, 3000);
            ServiceTimes times;
            AdmissionControl admission(times, 1);
            Pool without;
            Pool with;
            std::deque<RequestEntry> entries;
            for (auto *pool : {&without, &with}) {
                pool->slots = 32;
                pool->tiers[0].running = topRunning;
                pool->tiers[0].meanWork = 2;
                for (int n = 0; n < topQueued; ++n) {
                    push(*pool, entries, admission, 0, n);
                }
            }
            for (Tier tier = 1; tier < tierCount; ++tier) {
                with.tiers[tier].running = *rc::gen::inRange<std::uint32_t>(0, 40);
                with.tiers[tier].admittedWork.add(*rc::gen::inRange(0, 1000), start);
                with.dispatches.add(*rc::gen::inRange(0, 100), start);
                const auto queued = *rc::gen::inRange(0, 20);
                for (int n = 0; n < queued; ++n) {
                    push(with, entries, admission, tier, n);
                }
            }
            RequestEntry entry;
            entry.info = makeInfo(0, 99);
            entry.info.firstTokenTarget = Milliseconds{target};
            admission.estimate(entry, without.model);
            const auto first = admission.check(without, entry, start);
            const auto second = admission.check(with, entry, start);
            RC_ASSERT(first.has_value() == second.has_value());
            RC_ASSERT(!first || first->code == second->code);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Lower tiers must not hold slots while the top tier waits: its load fits the capacity, so all of it is served.
    void topTierIsServedUnderLowerTierOverload()
    {
        SchedulerFixture fixture(4);
        int preemptedTop = 0;
        int preempted = 0;
        fixture.onAction = [&](const SchedulerAction &action) {
            if (const auto *it = std::get_if<PreemptAction>(&action)) {
                ++preempted;
                preemptedTop += fixture.infos.at(it->request).tier == 0 ? 1 : 0;
            }
        };
        int top = 0;
        fixture.serviceTime = Milliseconds{3'000};
        for (int n = 0; n < 400; ++n) {
            for (Tier tier = 1; tier < tierCount; ++tier) {
                (void)fixture.submit(fixture.request("flood" + std::to_string(tier), tier));
            }
            // 16 slots serve 5.3 requests per second; 3.3 per second arrive in the top tier, in bursts of 5 every 1.5 s.
            if (n % 15 == 0) {
                for (int burst = 0; burst < 5; ++burst, ++top) {
                    CPPUNIT_ASSERT(fixture.submit(fixture.request("top", 0)));
                }
            }
            fixture.run(Milliseconds{100});
        }
        fixture.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(top, fixture.completed["top"]);
        CPPUNIT_ASSERT_EQUAL(0, preemptedTop);
        CPPUNIT_ASSERT(preempted > 0);
        for (const auto &[id, code] : fixture.sheds) {
            CPPUNIT_ASSERT(fixture.infos.at(id).tier != 0);
        }
    }

    // Prevents starvation: with the top tier always backlogged, each waiting class of a lower tier is dispatched at least
    // once in 50 dispatches per class of its tier.
    void everyClassIsServedUnderTopTierOverload()
    {
        SchedulerFixture fixture(4);
        fixture.serviceTime = Milliseconds{200};
        std::map<std::string, int> lastDispatch;
        int maxGap = 0;
        fixture.onAction = [&](const SchedulerAction &action) {
            if (const auto *it = std::get_if<DispatchAction>(&action); it != nullptr) {
                const auto &info = fixture.infos.at(it->request);
                if (info.tier > 0) {
                    const auto key = info.team + info.className;
                    maxGap = std::max(maxGap, fixture.dispatches - lastDispatch[key]);
                    lastDispatch[key] = fixture.dispatches;
                }
            }
        };
        const std::vector<std::string> classes{"a", "b", "c"};
        std::set<std::string> expected;
        for (int n = 0; n < 1500; ++n) {
            for (int burst = 0; burst < 4; ++burst) {
                (void)fixture.submit(fixture.request("top", 0));
            }
            for (Tier tier = 1; tier < tierCount; ++tier) {
                for (const auto &it : classes) {
                    const auto team = "low" + std::to_string(tier);
                    expected.insert(team + it);
                    (void)fixture.submit(fixture.request(team, tier, it));
                }
            }
            fixture.run(Milliseconds{20});
        }
        CPPUNIT_ASSERT_EQUAL(expected.size(), lastDispatch.size());
        for (const auto &[key, last] : lastDispatch) {
            maxGap = std::max(maxGap, fixture.dispatches - last);
        }
        CPPUNIT_ASSERT_LESSEQUAL(static_cast<int>(floorInterval * classes.size()), maxGap);
        // Requests also have to complete: dispatches that are always preempted again would be no service.
        for (Tier tier = 1; tier < tierCount; ++tier) {
            CPPUNIT_ASSERT(fixture.completed["low" + std::to_string(tier)] * 100 >= fixture.dispatches);
        }
    }

    // Floor dispatches are not late when several tiers are due at once.
    void floorIntervalHoldsForAllTiers()
    {
        PoolQueue queue;
        std::deque<RequestEntry> entries;
        std::array<int, tierCount> last{};
        for (int n = 1; n <= 1000; ++n) {
            for (Tier tier = 0; tier < tierCount; ++tier) {
                auto &entry = entries.emplace_back();
                entry.info = makeInfo(tier, n);
                entry.sequence = entries.size();
                queue.tier(tier).push(entry);
            }
            const auto pick = queue.next(start);
            queue.take(pick);
            last[pick.entry->info.tier] = n;
            for (const auto it : last) {
                CPPUNIT_ASSERT(n - it <= static_cast<int>(floorInterval));
            }
        }
    }

    // Initial values of the learned times must not refuse the first requests of a class.
    void priorsRefuseNoRequest()
    {
        struct Targets
        {
            int firstToken;
            int total;
            std::uint32_t prompt;
        };
        for (const auto &it : {Targets{500, 15'000, 1'200}, Targets{500, 20'000, 8'000}, Targets{200, 1'500, 300}, Targets{1'000, 1'500, 16'000}}) {
            for (Tier tier = 0; tier < tierCount; ++tier) {
                SchedulerFixture fixture(2);
                for (int n = 0; n < 4; ++n) {
                    auto info = fixture.request("team", tier);
                    info.firstTokenTarget = Milliseconds{it.firstToken};
                    info.totalTarget = Milliseconds{it.total};
                    info.promptTokens = it.prompt;
                    info.maxOutputTokens = 0;
                    CPPUNIT_ASSERT(fixture.submit(info));
                    fixture.step();
                }
                fixture.run(Milliseconds{1'200});
                CPPUNIT_ASSERT_EQUAL(4, fixture.completed["team"]);
            }
        }
    }

    // Refusals end after a slow phase. They would last forever if stale measurements were used, as refused requests yield none.
    void refusalsEndAfterSlowPhase()
    {
        SchedulerFixture fixture(2);
        const auto tightRequest = [&] {
            auto info = fixture.request("team", 0);
            info.totalTarget = Milliseconds{3'000};
            return info;
        };
        fixture.serviceTime = Milliseconds{30'000};
        for (int n = 0; n < 600; ++n) {
            auto looseRequest = fixture.request("team", 0);
            looseRequest.totalTarget = Milliseconds{60'000};
            (void)fixture.submit(looseRequest);
            fixture.run(Milliseconds{500});
        }
        CPPUNIT_ASSERT(!fixture.submit(tightRequest()));
        fixture.serviceTime = Milliseconds{1'000};
        fixture.run(Milliseconds{90'000});
        const auto before = fixture.completed["team"];
        for (int n = 0; n < 20; ++n) {
            (void)fixture.submit(tightRequest());
            fixture.run(Milliseconds{2'000});
        }
        CPPUNIT_ASSERT(fixture.completed["team"] - before > 0);
    }

private:
    static constexpr SteadyTime start{std::chrono::hours{1}};

    static RequestInfo makeInfo(Tier tier, int team)
    {
        RequestInfo info;
        info.id = "x";
        info.team = "t" + std::to_string(team % 5);
        info.className = "c";
        info.model = "m";
        info.tier = tier;
        info.firstTokenTarget = Milliseconds{1000};
        info.totalTarget = Milliseconds{20'000};
        info.promptTokens = 300;
        info.maxOutputTokens = 100;
        return info;
    }

    static void push(Pool &pool, std::deque<RequestEntry> &entries, AdmissionControl &admission, Tier tier, int team)
    {
        auto &entry = entries.emplace_back();
        entry.info = makeInfo(tier, team);
        entry.sequence = entries.size();
        admission.estimate(entry, pool.model);
        pool.queue.tier(tier).push(entry);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityTest);

} // namespace guavafield
