// A small fleet on a manual clock in which requests with a deadly part share other parts with sound requests.
#pragma once

#include <guavafield/coordination/request/health/crash_evidence.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace guavafield::test {

/*! @brief Hosts in front of one pool. Requests go to the hosts in turn, and no two are alike. */
class SharedPartFleet
{
public:
    using Parts = std::vector<std::uint64_t>;
    /*! @brief Returns the shared parts of the nth request of its kind, most general first. */
    using PartsOfRequest = std::function<Parts(std::size_t n)>;

    struct Settings
    {
        PartsOfRequest deadlyParts;
        PartsOfRequest soundParts;
        std::size_t hosts{3};
        std::size_t upstreams{8};
        Milliseconds reportInterval{200};
        // Sound requests come in rounds.
        Milliseconds roundInterval{3'000};
        std::size_t requestsPerRound{4};
        // The first deadly request comes so long after the beginning.
        Milliseconds calmTime{21'900};
        Milliseconds deadlyInterval{650};
        Milliseconds deadlyTime{40'000};
        // This host starts so long after the first deadly request; the others start at once.
        std::size_t lateHost{0};
        Milliseconds lateHostDelay{0};
        // An upstream crashes without a request at fault each time that this much time has passed; never if zero.
        Milliseconds ordinaryCrashInterval{0};
    };

    /*! @brief Sound requests of one period and how many of them an upstream began to run at the first attempt. */
    struct Share
    {
        std::size_t sent{0};
        std::size_t begun{0};
    };

    struct Result
    {
        Share before;
        // From twice the contact time after the fifth crash on.
        Share after;
        std::size_t crashes{0};
        // Runs of deadly requests later than the contact time after the fifth crash.
        std::size_t lateDeadlyRuns{0};
    };

    explicit SharedPartFleet(Settings settings);

    [[nodiscard]] Result run();

private:
    struct Upstream
    {
        Incarnation incarnation{1};
        SteadyTime upAt{};
    };
    struct Answer
    {
        std::size_t host{0};
        CrashSuspect suspect;
        std::size_t upstream{0};
        SteadyTime endsAt{};
        bool deadly{false};
        bool isRetry{false};
    };

    [[nodiscard]] bool isUp(std::size_t host) const;
    [[nodiscard]] std::size_t nextHost();
    void reportDue();
    void sendDue();
    void sendSound();
    void sendDeadly();
    // Returns false if no upstream is up.
    bool begin(std::size_t host, const CrashSuspect &suspect, bool deadly, bool isRetry);
    void endDue();
    void crashDue();
    void crash(std::size_t upstream);

    Settings m_settings;
    std::vector<CrashEvidence> m_hosts;
    std::vector<Upstream> m_upstreams;
    std::vector<Answer> m_answers;
    Result m_result;
    std::size_t m_requests{0};
    std::size_t m_soundRequests{0};
    std::size_t m_deadlyRequests{0};
    std::size_t m_reports{0};
    std::size_t m_upstreamTurn{0};
    SteadyTime m_start{std::chrono::hours{1}};
    SteadyTime m_now{m_start};
    SteadyTime m_deadlyFrom{m_start};
    SteadyTime m_nextRound{m_start};
    SteadyTime m_nextDeadly{m_start};
    SteadyTime m_nextReport{m_start};
    SteadyTime m_nextOrdinaryCrash{m_start};
    SteadyTime m_fifthCrash{SteadyTime::max()};
};

} // namespace guavafield::test
