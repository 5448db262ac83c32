// Tests of fault handling: retry budget, quarantine of crashing requests, leaving upstreams.
#include <support/request/scheduler_fixture.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace guavafield {

class FaultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultTest);
    CPPUNIT_TEST(retryBudgetBoundsLoad);
    CPPUNIT_TEST(reserveAllowsRetriesAtLowTraffic);
    CPPUNIT_TEST(requestIsQuarantinedAfterSecondSoleSuspectCrash);
    CPPUNIT_TEST(peerCrashRecordIsEnforced);
    CPPUNIT_TEST(leavingUpstreamGetsNoNewRequests);
    CPPUNIT_TEST(shedReportsTheLastFailure);
    CPPUNIT_TEST(upstreamReportedLeavingGetsNoNewRequests);
    CPPUNIT_TEST(quarantineAffectsOneFingerprintOnly);
    CPPUNIT_TEST(randomEventsLeakNoRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Prevents retry storms: if every attempt fails, retries stay below a tenth of the requests plus the reserve.
    void retryBudgetBoundsLoad()
    {
        SchedulerFixture fixture(4);
        constexpr int requests = 2000;
        for (int n = 0; n < requests; ++n) {
            (void)fixture.submit(fixture.request("team", 1));
            fixture.run(Milliseconds{10});
            for (const auto &[id, upstream] : fixture.configuration.upstreams) {
                fixture.failAt(id, AttemptFailed{});
                fixture.restart(id);
            }
        }
        CPPUNIT_ASSERT(fixture.retriesSent > 10);
        // The reserve of 3 is refilled by 0.1 per second for 20 s.
        CPPUNIT_ASSERT_LESSEQUAL(requests / 10 + 3 + 2, fixture.retriesSent);
    }

    // A host with little traffic can retry although a tenth of its few requests does not add up to a retry.
    void reserveAllowsRetriesAtLowTraffic()
    {
        SchedulerFixture fixture(4);
        for (int n = 1; n <= 6; ++n) {
            (void)fixture.submit(fixture.request("team", 1));
            fixture.run(Milliseconds{20});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.running.size());
            const auto upstream = fixture.running.begin()->second.upstream;
            fixture.failAt(upstream, AttemptFailed{});
            fixture.run(Milliseconds{10'000});
            CPPUNIT_ASSERT_EQUAL(n, fixture.completed["team"]);
        }
        CPPUNIT_ASSERT(fixture.refusals.empty());
    }

    // A request that crashes one upstream after another is quarantined, and unrelated requests are not refused.
    void requestIsQuarantinedAfterSecondSoleSuspectCrash()
    {
        SchedulerFixture fixture(6);
        auto crashing = fixture.request("bad", 2);
        int crashes = 0;
        for (int n = 0; n < 400; ++n) {
            (void)fixture.submit(fixture.request("good", 2));
            if (n >= 20 && !fixture.infos.contains(crashing.id)) {
                (void)fixture.submit(crashing);
            } else if (n > 20 && refusedAsSuspect(fixture, crashing.id) && n % 10 == 0) {
                auto again = fixture.request("bad", 2);
                again.fingerprint = crashing.fingerprint;
                CPPUNIT_ASSERT(!fixture.submit(again));
            }
            fixture.run(Milliseconds{50});
            if (const auto it = fixture.running.find(crashing.id); it != fixture.running.end()) {
                const auto upstream = it->second.upstream;
                ++crashes;
                fixture.crash(upstream);
                fixture.restart(upstream);
            }
        }
        fixture.run(Milliseconds{10'000});
        CPPUNIT_ASSERT(refusedAsSuspect(fixture, crashing.id));
        CPPUNIT_ASSERT(crashes <= 3);
        CPPUNIT_ASSERT_EQUAL(400, fixture.completed["good"]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.scheduler.crashRecords(fixture.now).size());
    }

    // A crash record of a peer applies only until it expires and only to its fingerprint.
    void peerCrashRecordIsEnforced()
    {
        SchedulerFixture fixture(2);
        const auto bad = fixture.request("bad", 1);
        fixture.scheduler.onCrashRecord({bad.fingerprint, Milliseconds{5'000}}, fixture.now);
        CPPUNIT_ASSERT(!fixture.submit(bad));
        CPPUNIT_ASSERT(fixture.submit(fixture.request("bad", 1)));
        fixture.run(Milliseconds{5'000});
        auto later = fixture.request("bad", 1);
        later.fingerprint = bad.fingerprint;
        CPPUNIT_ASSERT(fixture.submit(later));
    }

    // A leaving upstream receives no requests, even after an unrelated configuration change.
    void leavingUpstreamGetsNoNewRequests()
    {
        SchedulerFixture fixture(3);
        fixture.serviceTime = Milliseconds{4'000};
        bool leaving = false;
        int moved = 0;
        fixture.onAction = [&](const SchedulerAction &action) {
            if (const auto *it = std::get_if<DispatchAction>(&action)) {
                CPPUNIT_ASSERT(!leaving || it->upstream != "u1");
            } else if (const auto *preempt = std::get_if<PreemptAction>(&action)) {
                moved += preempt->upstream == "u1" ? 1 : 0;
            }
        };
        for (int n = 0; n < 200; ++n) {
            (void)fixture.submit(fixture.request("team", static_cast<Tier>(n % 4)));
            if (n == 50) {
                leaving = true;
                fixture.scheduler.onUpstreamLeaving("u1", Milliseconds{2'000}, fixture.now);
            }
            if (n == 60) {
                fixture.scheduler.applyConfiguration(fixture.configuration, fixture.now);
            }
            fixture.run(Milliseconds{100});
        }
        CPPUNIT_ASSERT(moved > 0);
        for (const auto &[id, attempt] : fixture.running) {
            CPPUNIT_ASSERT(attempt.upstream != "u1");
        }
    }

    // If the only upstream failed, the request is shed with that failure rather than with NoUpstream.
    void shedReportsTheLastFailure()
    {
        SchedulerFixture fixture(1);
        const auto info = fixture.request("team", 0);
        CPPUNIT_ASSERT(fixture.submit(info));
        fixture.run(Milliseconds{20});
        AttemptFailed failure;
        failure.code = ResultCode::UpstreamUnreachable;
        failure.reason = RetryReason::ConnectFailed;
        fixture.failAt("u0", failure);
        fixture.run(Milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sheds.size());
        CPPUNIT_ASSERT(fixture.sheds.front() == std::pair(info.id, ResultCode::UpstreamUnreachable));
    }

    // An upstream whose load reports announce its shutdown receives no requests, hedges or probes.
    void upstreamReportedLeavingGetsNoNewRequests()
    {
        SchedulerFixture fixture(3);
        bool leaving = false;
        int elsewhere = 0;
        fixture.onAction = [&](const SchedulerAction &action) {
            if (const auto *it = std::get_if<DispatchAction>(&action)) {
                CPPUNIT_ASSERT(!leaving || it->upstream != "u1");
                elsewhere += leaving ? 1 : 0;
            } else if (const auto *hedge = std::get_if<HedgeAction>(&action)) {
                CPPUNIT_ASSERT(!leaving || hedge->upstream != "u1");
            }
        };
        LoadReport report;
        report.slots = 4;
        report.incarnation = 1;
        for (int n = 0; n < 200; ++n) {
            (void)fixture.submit(fixture.request("team", static_cast<Tier>(n % 4)));
            leaving = n >= 50;
            report.leaving = leaving;
            fixture.scheduler.onLoadReport("u1", report, fixture.now);
            if (n == 60) {
                // The failure makes a probe due later.
                fixture.failAt("u1", AttemptFailed{});
            }
            fixture.run(Milliseconds{100});
        }
        CPPUNIT_ASSERT(elsewhere > 100);
    }

    // A quarantine refuses neither other teams nor other requests of the same team.
    void quarantineAffectsOneFingerprintOnly()
    {
        SchedulerFixture fixture(4);
        const auto crashing = fixture.request("bad", 2);
        CPPUNIT_ASSERT(fixture.submit(crashing));
        for (int n = 0; n < 400 && !refusedAsSuspect(fixture, crashing.id); ++n) {
            fixture.run(Milliseconds{50});
            if (const auto it = fixture.running.find(crashing.id); it != fixture.running.end()) {
                const auto upstream = it->second.upstream;
                fixture.crash(upstream);
                fixture.restart(upstream);
            }
        }
        CPPUNIT_ASSERT(refusedAsSuspect(fixture, crashing.id));
        for (const auto *team : {"bad", "other", "third"}) {
            CPPUNIT_ASSERT(fixture.submit(fixture.request(team, 2)));
        }
        fixture.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(1, fixture.completed["bad"]);
        CPPUNIT_ASSERT_EQUAL(1, fixture.completed["other"]);
        CPPUNIT_ASSERT_EQUAL(1, fixture.completed["third"]);
    }

    // Detects lost or duplicated accounting: after a random mix of events all requests end and all slots are free.
    void randomEventsLeakNoRequests()
    {
        const bool holds = rc::check("all requests end", [] {
            SchedulerFixture fixture(3, 2);
            const auto operations = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 12));
            for (const auto operation : operations) {
                const auto upstream = "u" + std::to_string(operation % 3);
                if (operation < 7) {
                    (void)fixture.submit(fixture.request("t" + std::to_string(operation % 3), static_cast<Tier>(operation % 4)));
                } else if (operation == 7) {
                    fixture.crash(upstream);
                } else if (operation == 8) {
                    fixture.failAt(upstream, AttemptFailed{});
                } else if (operation == 9) {
                    fixture.restart(upstream);
                } else if (operation == 10 && !fixture.infos.empty()) {
                    const auto id = fixture.infos.rbegin()->first;
                    fixture.running.erase(id);
                    fixture.scheduler.cancel(id, fixture.now);
                } else {
                    fixture.scheduler.onUpstreamLeaving(upstream, Milliseconds{500}, fixture.now);
                }
                fixture.run(Milliseconds{50});
            }
            for (const auto &[id, upstream] : fixture.configuration.upstreams) {
                fixture.restart(id);
            }
            fixture.run(Milliseconds{90'000});
            RC_ASSERT(fixture.scheduler.queued() == 0U);
            RC_ASSERT(fixture.scheduler.running() == 0U);
            RC_ASSERT(fixture.running.empty());
        });
        CPPUNIT_ASSERT(holds);
    }

private:
    static bool refusedAsSuspect(const SchedulerFixture &fixture, const std::string &id)
    {
        return std::ranges::find(fixture.refusals, std::pair(id, ResultCode::CrashSuspectRefused)) != fixture.refusals.end();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTest);

} // namespace guavafield
