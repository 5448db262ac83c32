// Tests of the attribution of crashes, with hosts that report to each other.
#include <guavafield/coordination/request/crash_evidence.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <string>

namespace guavafield {

namespace {

constexpr std::uint64_t deadlyPart = 0xDEAD;
constexpr std::uint64_t commonPart = 1;

// A fleet in front of one pool. Requests with the deadly part crash their upstream when it begins to answer; the other requests that wait there are
// suspects as well. An upstream is back after a while as a new process.
class CrashingFleet
{
public:
    struct Settings
    {
        unsigned seed{1};
        std::size_t hosts{9};
        std::size_t upstreams{12};
        // Requests a second in the fleet, and the fraction of them that have the deadly part.
        double requestsPerSecond{15};
        double deadlyFraction{0.05};
        Milliseconds reportInterval{200};
        // Requests that wait at an upstream besides the one that crashes it.
        std::size_t waitingBeside{2};
        // Parts below the common one.
        std::uint64_t subjects{400};
    };

    explicit CrashingFleet(Settings settings) : m_settings(settings), m_random(settings.seed), m_hosts(settings.hosts), m_processes(settings.upstreams) { }

    void run(Milliseconds time)
    {
        const auto end = m_now + time;
        std::exponential_distribution<double> pause(m_settings.requestsPerSecond);
        while (m_now < end) {
            const auto next = m_now + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(pause(m_random)));
            while (m_nextReports <= next) {
                m_now = m_nextReports;
                report();
                m_nextReports += m_settings.reportInterval / static_cast<int>(m_hosts.size());
            }
            m_now = next;
            arrive();
        }
    }

    std::size_t deadlyRuns{0};
    // Runs of requests with the deadly part later than this after the fifth crash.
    Milliseconds toleratedTime{3'000};
    std::size_t lateDeadlyRuns{0};
    std::size_t soundRequests{0};
    std::size_t soundRefused{0};
    std::size_t crashes{0};

private:
    struct Process
    {
        Incarnation incarnation{1};
        SteadyTime upAt{};
    };

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }

    CrashSuspect request(bool deadly)
    {
        CrashSuspect result{++m_lastRequest + (1ULL << 40U), {commonPart + below(4)}};
        result.parts.push_back(deadly ? deadlyPart : 1'000 + below(m_settings.subjects));
        return result;
    }

    void arrive()
    {
        const bool deadly = std::bernoulli_distribution(m_settings.deadlyFraction)(m_random);
        auto &host = m_hosts[below(m_hosts.size())];
        const auto suspect = request(deadly);
        soundRequests += deadly ? 0 : 1;
        if (host.refusedFor(suspect, m_now)) {
            soundRefused += deadly ? 0 : 1;
            return;
        }
        if (!deadly) {
            host.onBegun(suspect, m_now);
            return;
        }
        // Its stream may go on elsewhere, so it runs twice.
        for (int n = 0; n < 2 && !host.refusedFor(suspect, m_now); ++n) {
            crash(host, suspect);
        }
    }

    void crash(CrashEvidence &host, const CrashSuspect &suspect)
    {
        auto &process = m_processes[below(m_processes.size())];
        if (process.upAt > m_now) {
            return;
        }
        ++deadlyRuns;
        lateDeadlyRuns += crashes >= 5 && m_now > m_fifthCrash + toleratedTime ? 1 : 0;
        if (++crashes == 5) {
            m_fifthCrash = m_now;
        }
        const CrashId id{static_cast<std::uint64_t>(&process - m_processes.data()), process.incarnation};
        host.onCrash(id, suspect, m_settings.upstreams, m_now);
        for (std::size_t n = 0; n < m_settings.waitingBeside; ++n) {
            auto &other = m_hosts[below(m_hosts.size())];
            const auto beside = request(false);
            other.onCrash(id, beside, m_settings.upstreams, m_now);
            // It goes on elsewhere.
            if (!other.refusedFor(beside, m_now)) {
                other.onBegun(beside, m_now);
            }
        }
        ++process.incarnation;
        process.upAt = m_now + std::chrono::seconds{3};
    }

    void report()
    {
        const auto knowledge = m_hosts[m_reporter].knowledge(m_now);
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            // Datagrams are lost now and then.
            if (n != m_reporter && below(50) > 0) {
                m_hosts[n].merge(knowledge, m_now);
            }
        }
        m_reporter = (m_reporter + 1) % m_hosts.size();
    }

    Settings m_settings;
    std::mt19937 m_random;
    std::vector<CrashEvidence> m_hosts;
    std::vector<Process> m_processes;
    std::uint64_t m_lastRequest{0};
    std::size_t m_reporter{0};
    SteadyTime m_now{std::chrono::hours{1}};
    SteadyTime m_nextReports{m_now};
    SteadyTime m_fifthCrash{};
};

} // namespace

class CrashEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashEvidenceTest);
    CPPUNIT_TEST(deadlyPartIsStoppedAndSoundRequestsGoOn);
    CPPUNIT_TEST(deadlyPartIsStoppedInALargeFleet);
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
            evidence.onBegun({50 + n, {commonPart, 1'001}}, m_now + Milliseconds{10});
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
        other.onBegun(next, m_now);
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
        m_now += std::chrono::minutes{2};
        CrashEvidence started;
        started.merge(evidence.knowledge(m_now), m_now);
        const auto remaining = started.refusedFor({999, {deadlyPart}}, m_now);
        CPPUNIT_ASSERT(remaining.has_value() && *remaining <= CrashEvidence::retention - std::chrono::minutes{1});
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
        CPPUNIT_ASSERT(knowledge.verdicts.size() <= 8 && knowledge.begins.size() <= 16);
    }

private:
    SteadyTime m_now{std::chrono::hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTest);

} // namespace guavafield
