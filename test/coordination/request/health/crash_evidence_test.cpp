// Tests of the attribution of crashes, with hosts that report to each other.
#include "coordination/request/health/crashing_fleet.hpp"

#include <guavafield/coordination/request/health/crash_evidence.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace guavafield::test {

class CrashEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashEvidenceTest);
    CPPUNIT_TEST(deadlyPartIsStoppedAndSoundRequestsGoOn);
    CPPUNIT_TEST(deadlyPartIsStoppedInALargeFleet);
    CPPUNIT_TEST(partThatCrashesAfterTheFirstEventsIsStopped);
    CPPUNIT_TEST(connectionsThatBreakTogetherAccuseNobody);
    CPPUNIT_TEST(deadlyPartIsFoundBesideACut);
    CPPUNIT_TEST(answersThatAreCutShortAccuseNobody);
    CPPUNIT_TEST(answerThatBeginsIsNoProofOfSoundness);
    CPPUNIT_TEST(requestThatIsCutShortOnceInAWhileIsNotRefused);
    CPPUNIT_TEST(requestsBesideCrashesAreNotRefused);
    CPPUNIT_TEST(partWithoutSoundRequestsIsNotBlamedForItsNeighbour);
    CPPUNIT_TEST(failureOfManyUpstreamsBlamesNobody);
    CPPUNIT_TEST(verdictEndsWhenTheUpstreamBeginsAfterAll);
    CPPUNIT_TEST(verdictReachesAHostThatStartsLater);
    CPPUNIT_TEST(reportsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Requests with one deadly part, no two alike, must not go on crashing upstreams, and those that share the rest with them are served.
    void deadlyPartIsStoppedAndSoundRequestsGoOn()
    {
        for (unsigned seed = 1; seed <= 50; ++seed) {
            CrashingFleet fleet({seed});
            fleet.run(std::chrono::seconds{60});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), fleet.crashes >= 3);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " late runs " + std::to_string(fleet.lateDeadlyRuns), fleet.lateDeadlyRuns <= 3);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " refused " + std::to_string(fleet.soundRefused),
                                   fleet.soundRefused * 500 <= fleet.soundRequests);
        }
    }

    // The evidence of one host is a sliver, and reports are seconds apart.
    void deadlyPartIsStoppedInALargeFleet()
    {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            CrashingFleet::Settings settings{seed};
            settings.hosts = 195;
            settings.upstreams = 120;
            settings.requestsPerSecond = 200;
            settings.reportInterval = Milliseconds{3'200};
            settings.waitingBeside = 3;
            settings.subjects = 2'000;
            CrashingFleet fleet(settings);
            fleet.toleratedTime = Milliseconds{4'000};
            fleet.run(std::chrono::seconds{20});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " late runs " + std::to_string(fleet.lateDeadlyRuns), fleet.lateDeadlyRuns <= 3);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " refused " + std::to_string(fleet.soundRefused),
                                   fleet.soundRefused * 500 <= fleet.soundRequests);
        }
    }

    // A part that lets upstreams write the first events before they crash must be found as well, at any rate and on few hosts or many.
    void partThatCrashesAfterTheFirstEventsIsStopped()
    {
        for (unsigned seed = 1; seed <= 50; ++seed) {
            for (const double deadlyPerSecond : {0.5, 1.0, 3.0}) {
                CrashingFleet::Settings settings{seed};
                settings.hosts = seed % 2 == 0 ? 3 : 9;
                settings.deadlyFraction = deadlyPerSecond / settings.requestsPerSecond;
                settings.afterFirstEvents = true;
                CrashingFleet fleet(settings);
                fleet.run(std::chrono::seconds{40});
                const auto text = "seed " + std::to_string(seed) + " at " + std::to_string(deadlyPerSecond) + " a second: late runs "
                    + std::to_string(fleet.lateDeadlyRuns) + ", refused " + std::to_string(fleet.soundRefused);
                CPPUNIT_ASSERT_MESSAGE(text, fleet.crashes >= 3);
                CPPUNIT_ASSERT_MESSAGE(text, fleet.lateDeadlyRuns <= 3);
                // What the users allow of proper requests.
                CPPUNIT_ASSERT_MESSAGE(text, fleet.soundRefused <= 5 + fleet.soundRequests / 500);
            }
        }
    }

    // A network that breaks the streams of many upstreams, at once or one after the other and again and again, says nothing about requests.
    void connectionsThatBreakTogetherAccuseNobody()
    {
        for (unsigned seed = 1; seed <= 50; ++seed) {
            for (const auto spread : {Milliseconds{0}, Milliseconds{400}}) {
                CrashingFleet::Settings settings{seed};
                settings.deadlyFraction = 0;
                settings.requestsPerSecond = 50;
                CrashingFleet fleet(settings);
                for (int n = 0; n < 6; ++n) {
                    fleet.run(std::chrono::seconds{3});
                    for (std::size_t upstream = 0; upstream < settings.upstreams / 3; ++upstream) {
                        fleet.breakConnections(upstream);
                        fleet.run(spread);
                    }
                }
                fleet.run(std::chrono::seconds{5});
                CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t{0}, fleet.soundRefused);
            }
        }
    }

    // Many connections that break at one moment must not hide the part that goes on crashing upstreams.
    void deadlyPartIsFoundBesideACut()
    {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            CrashingFleet::Settings settings{seed};
            settings.upstreams = 120;
            settings.requestsPerSecond = 200;
            settings.deadlyFraction = 0.00125;
            settings.afterFirstEvents = true;
            CrashingFleet fleet(settings);
            fleet.run(std::chrono::seconds{5});
            for (std::size_t upstream = 0; upstream < settings.upstreams * 2 / 3; ++upstream) {
                fleet.breakConnections(upstream);
            }
            fleet.run(std::chrono::seconds{50});
            const auto text =
                "seed " + std::to_string(seed) + " late runs " + std::to_string(fleet.lateDeadlyRuns) + ", refused " + std::to_string(fleet.soundRefused);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.crashes >= 3);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.lateDeadlyRuns <= 3);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.soundRefused <= 5 + fleet.soundRequests / 500);
        }
    }

    // Upstreams that end many of their answers too soon have not crashed.
    void answersThatAreCutShortAccuseNobody()
    {
        for (unsigned seed = 1; seed <= 50; ++seed) {
            CrashingFleet::Settings settings{seed};
            settings.deadlyFraction = 0;
            settings.requestsPerSecond = 50;
            CrashingFleet fleet(settings);
            for (int n = 0; n < 200; ++n) {
                fleet.run(Milliseconds{100});
                fleet.breakOneAnswer(static_cast<std::size_t>(n) % 4);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t{0}, fleet.soundRefused);
        }
    }

    // A request with the deadly part has begun at one upstream while it crashes another, which must not clear the part.
    void answerThatBeginsIsNoProofOfSoundness()
    {
        CrashEvidence evidence;
        for (std::uint64_t n = 0; n < 4; ++n) {
            m_now += Milliseconds{700};
            evidence.onCrash({n, 1}, {100 + n, {commonPart, deadlyPart}, true}, 12, m_now);
            evidence.onSurvived({50 + n, {commonPart, 1'001}}, m_now + Milliseconds{10});
        }
        CPPUNIT_ASSERT(evidence.refusedFor({999, {commonPart, deadlyPart}}, m_now).has_value());
        CPPUNIT_ASSERT(!evidence.refusedFor({999, {commonPart, 1'002}}, m_now).has_value());
    }

    // Clients poll one request; now and then its answer is cut short by one of three upstreams in a row.
    void requestThatIsCutShortOnceInAWhileIsNotRefused()
    {
        CrashEvidence evidence;
        const CrashSuspect polled{7, {}, true};
        for (std::uint64_t n = 0; n < 20; ++n) {
            for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
                m_now += Milliseconds{50};
                evidence.onCrash({upstream, 1}, polled, 3, m_now);
            }
            CPPUNIT_ASSERT(!evidence.refusedFor(polled, m_now).has_value());
            m_now += Milliseconds{50};
            evidence.onSurvived(polled, m_now);
        }
        // Where no answer is whole any more, the request is at fault.
        for (std::uint64_t n = 0; n < 3; ++n) {
            m_now += Milliseconds{700};
            evidence.onCrash({n, 2}, polled, 3, m_now);
        }
        CPPUNIT_ASSERT(evidence.refusedFor(polled, m_now).has_value());
    }

    // A request that waited beside two or three crashing ones has crashed nothing.
    void requestsBesideCrashesAreNotRefused()
    {
        CrashEvidence evidence;
        const CrashSuspect sound{7, {commonPart, 1'000}};
        for (std::uint64_t n = 0; n < 4; ++n) {
            m_now += Milliseconds{700};
            const CrashId id{n, 1};
            evidence.onCrash(id, {100 + n, {commonPart, deadlyPart}}, 12, m_now);
            evidence.onCrash(id, sound, 12, m_now);
            evidence.onSurvived({50 + n, {commonPart, 1'001}}, m_now + Milliseconds{10});
        }
        CPPUNIT_ASSERT(!evidence.refusedFor(sound, m_now).has_value());
        CPPUNIT_ASSERT(evidence.refusedFor({999, {commonPart, deadlyPart}}, m_now).has_value());
        CPPUNIT_ASSERT(!evidence.refusedFor({999, {commonPart, 1'002}}, m_now).has_value());
    }

    // A part that comes only together with the deadly one is as suspect at first. It is the more special one that is refused.
    void partWithoutSoundRequestsIsNotBlamedForItsNeighbour()
    {
        CrashEvidence evidence;
        for (std::uint64_t n = 0; n < 4; ++n) {
            m_now += Milliseconds{700};
            evidence.onCrash({n, 1}, {100 + n, {commonPart, deadlyPart}}, 12, m_now);
        }
        CPPUNIT_ASSERT(!evidence.refusedFor({999, {commonPart, 5}}, m_now).has_value());
        // Where the general part is the deadly one, it crashes under any other.
        CrashEvidence general;
        for (std::uint64_t n = 0; n < 4; ++n) {
            m_now += Milliseconds{700};
            general.onCrash({n, 1}, {100 + n, {deadlyPart, 1'000 + n / 2}}, 12, m_now);
        }
        CPPUNIT_ASSERT(general.refusedFor({999, {deadlyPart, 5}}, m_now).has_value());
    }

    // A host that is cut off loses its upstreams one after the other; no request is at fault.
    void failureOfManyUpstreamsBlamesNobody()
    {
        CrashEvidence evidence;
        for (std::uint64_t n = 0; n < 30; ++n) {
            m_now += Milliseconds{60};
            evidence.onCrash({n, 1}, {100 + n, {commonPart}}, 40, m_now);
        }
        CPPUNIT_ASSERT(!evidence.refusedFor({999, {commonPart}}, m_now).has_value());
        // A smaller pool, whose upstreams break more slowly, so that there is a verdict before the failure is seen to be widespread.
        CrashEvidence small;
        for (std::uint64_t n = 0; n < 12; ++n) {
            m_now += Milliseconds{250};
            small.onCrash({n, 1}, {100 + n, {commonPart}}, 12, m_now);
        }
        CPPUNIT_ASSERT(!small.refusedFor({999, {commonPart}}, m_now).has_value());
    }

    void verdictEndsWhenTheUpstreamBeginsAfterAll()
    {
        CrashEvidence evidence;
        CrashEvidence other;
        const CrashSuspect next{999, {commonPart}};
        for (std::uint64_t n = 0; n < 3; ++n) {
            m_now += Milliseconds{700};
            evidence.onCrash({n, 1}, {100 + n, {commonPart}}, 12, m_now);
        }
        other.merge(evidence.knowledge(m_now), m_now);
        CPPUNIT_ASSERT(evidence.refusedFor(next, m_now).has_value() && other.refusedFor(next, m_now).has_value());
        m_now += Milliseconds{200};
        other.onSurvived(next, m_now);
        CPPUNIT_ASSERT(!other.refusedFor(next, m_now).has_value());
        evidence.merge(other.knowledge(m_now), m_now);
        CPPUNIT_ASSERT(!evidence.refusedFor(next, m_now).has_value());
        // The old verdict does not come back.
        other.merge(evidence.knowledge(m_now), m_now);
        CPPUNIT_ASSERT(!other.refusedFor(next, m_now).has_value());
    }

    void verdictReachesAHostThatStartsLater()
    {
        CrashEvidence evidence;
        for (std::uint64_t n = 0; n < 3; ++n) {
            m_now += Milliseconds{700};
            evidence.onCrash({n, 1}, {100 + n, {commonPart, deadlyPart}}, 12, m_now);
        }
        // Until an answer survives with the common part, either part may be at fault.
        evidence.onSurvived({50, {commonPart}}, m_now + Milliseconds{10});
        m_now += std::chrono::minutes{2};
        CrashEvidence started;
        started.merge(evidence.knowledge(m_now), m_now);
        const auto remaining = started.refusedFor({999, {deadlyPart}}, m_now);
        CPPUNIT_ASSERT(remaining.has_value() && *remaining <= CrashEvidence::retention - std::chrono::minutes{1});
        CPPUNIT_ASSERT(!started.refusedFor({999, {commonPart}}, m_now).has_value());
        m_now += CrashEvidence::retention;
        CPPUNIT_ASSERT(!started.refusedFor({999, {deadlyPart}}, m_now).has_value());
    }

    // A datagram is small, whatever crashes.
    void reportsAreBounded()
    {
        CrashEvidence evidence;
        for (std::uint64_t n = 0; n < 500; ++n) {
            m_now += Milliseconds{900};
            for (std::uint64_t k = 0; k < 20; ++k) {
                CrashSuspect suspect{n * 100 + k, std::vector<std::uint64_t>(16, n + k)};
                evidence.onCrash({n, 1}, suspect, 100, m_now);
            }
        }
        const auto knowledge = evidence.knowledge(m_now);
        std::size_t words = 0;
        for (const auto &it : knowledge.crashes) {
            for (const auto &suspect : it.suspects) {
                words += 1 + suspect.parts.size();
            }
        }
        CPPUNIT_ASSERT(words > 0 && words <= 90);
        CPPUNIT_ASSERT(knowledge.verdicts.size() <= 8 && knowledge.survivals.size() <= 16);
        std::size_t features = 0;
        for (const auto &it : knowledge.verdicts) {
            features += it.features.size();
        }
        CPPUNIT_ASSERT(features > 0 && features <= 8);
    }

private:
    SteadyTime m_now{std::chrono::hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTest);

} // namespace guavafield::test
