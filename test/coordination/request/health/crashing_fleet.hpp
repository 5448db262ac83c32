// A fleet on a manual clock in which random requests with a deadly part come beside sound ones.
#pragma once

#include <guavafield/coordination/request/health/crash_evidence.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace guavafield::test {

inline constexpr std::uint64_t deadlyPart = 0xDEAD;
inline constexpr std::uint64_t commonPart = 1;

/*!
 * @brief A fleet in front of one pool.
 *
 * Requests with the deadly part crash their upstream when it begins to answer, or after its first events; the other requests that wait there and the
 * answers under way there break as well. An upstream is back after a while as a new process.
 */
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
        // The deadly part crashes upstreams only once they have written the first events.
        bool afterFirstEvents{false};
        // Longest duration of an answer; the shortest is a tenth of it.
        Milliseconds answerTime{5'000};
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
                endAnswers();
                report();
                m_nextReports += m_settings.reportInterval / static_cast<int>(m_hosts.size());
            }
            m_now = next;
            endAnswers();
            arrive();
        }
    }

    // All connections to an upstream break, but its process goes on.
    void breakConnections(std::size_t upstream)
    {
        breakAnswers(upstream, m_now);
    }
    // One connection to an upstream breaks.
    void breakOneAnswer(std::size_t upstream)
    {
        const auto it = std::ranges::find(m_answers, upstream, &Answer::upstream);
        if (it != m_answers.end()) {
            const auto answer = *it;
            m_answers.erase(it);
            breakAnswer(answer);
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
    // To a sound request.
    struct Answer
    {
        CrashEvidence *host{nullptr};
        CrashSuspect suspect;
        std::size_t upstream{0};
        SteadyTime begun{};
        SteadyTime survives{};
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
            answer(host, suspect);
            return;
        }
        // Its stream may go on elsewhere, so it runs twice.
        for (int n = 0; n < 2 && !host.refusedFor(suspect, m_now); ++n) {
            crash(host, suspect);
        }
    }

    // Begins to answer a sound request at an upstream that is up.
    void answer(CrashEvidence &host, const CrashSuspect &suspect)
    {
        auto n = below(m_processes.size());
        for (int tries = 0; tries < 5 && m_processes[n].upAt > m_now; ++tries) {
            n = below(m_processes.size());
        }
        const auto shortest = static_cast<std::size_t>(m_settings.answerTime.count()) / 10;
        const Milliseconds duration(static_cast<int>(shortest + below(shortest * 9)));
        if (m_processes[n].upAt <= m_now) {
            m_answers.push_back({&host, suspect, n, m_now, m_now + std::min(duration, CrashEvidence::answerBeginning)});
        }
    }

    void endAnswers()
    {
        std::erase_if(m_answers, [this](const Answer &it) {
            const bool survived = it.survives <= m_now;
            if (survived) {
                it.host->onSurvived(it.suspect, it.survives);
            }
            return survived;
        });
    }

    void breakAnswers(std::size_t upstream, SteadyTime begunBefore)
    {
        const auto answers = m_answers;
        std::erase_if(m_answers, [&](const Answer &it) { return it.upstream == upstream && it.begun <= begunBefore; });
        for (const auto &it : answers) {
            if (it.upstream == upstream && it.begun <= begunBefore) {
                breakAnswer(it);
            }
        }
    }

    void breakAnswer(const Answer &broken)
    {
        auto suspect = broken.suspect;
        suspect.answerBegan = true;
        broken.host->onCrash({broken.upstream, m_processes[broken.upstream].incarnation}, suspect, m_settings.upstreams, m_now);
        if (broken.host->refusedFor(broken.suspect, m_now)) {
            ++soundRefused;
            return;
        }
        // It goes on elsewhere.
        answer(*broken.host, broken.suspect);
    }

    void crash(CrashEvidence &host, CrashSuspect suspect)
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
        suspect.answerBegan = m_settings.afterFirstEvents;
        breakAnswers(id.upstream, m_now);
        host.onCrash(id, suspect, m_settings.upstreams, m_now);
        for (std::size_t n = 0; n < m_settings.waitingBeside; ++n) {
            auto &other = m_hosts[below(m_hosts.size())];
            const auto beside = request(false);
            other.onCrash(id, beside, m_settings.upstreams, m_now);
            // It goes on elsewhere.
            if (!other.refusedFor(beside, m_now)) {
                answer(other, beside);
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
    std::vector<Answer> m_answers;
    std::uint64_t m_lastRequest{0};
    std::size_t m_reporter{0};
    SteadyTime m_now{std::chrono::hours{1}};
    SteadyTime m_nextReports{m_now};
    SteadyTime m_fifthCrash{};
};

} // namespace guavafield::test
