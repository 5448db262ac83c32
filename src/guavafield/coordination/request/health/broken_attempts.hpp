// Attempts whose connection broke, until it is known whether the upstream's process has ended.
#pragma once

#include <guavafield/coordination/request/health/crash_evidence.hpp>
#include <guavafield/state/types.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavafield {

/*! @brief An attempt that was the last on its connection. */
struct BrokenAttempt
{
    CrashId crash;
    CrashSuspect suspect;
    // Number of upstreams in the pool.
    std::size_t upstreams{0};
    SteadyTime at{};
};

/*!
 * @brief Tells crashes of upstreams from lost links, so that only crashes speak against requests.
 *
 * A break is a crash if the upstream refuses new connections while this host reaches another upstream, or if its entry names another process. It is
 * none if the upstream takes new connections and its entry stays. If neither becomes known in time, it says nothing. Not thread-safe.
 */
class BrokenAttempts
{
public:
    void add(BrokenAttempt attempt);
    /*! @brief Notes that an answer or a new connection has reached this host from an upstream. */
    void onReached(std::uint64_t upstream, SteadyTime now);
    /*! @brief Notes that the upstream takes new connections. */
    void onConnected(std::uint64_t upstream);
    /*! @brief Notes that nobody listens at the upstream's address. */
    void onRefused(std::uint64_t upstream);
    /*! @brief Notes that the process with this incarnation has ended. */
    void onReplaced(const CrashId &process);

    /*! @brief Returns the attempts that a crash ended, and forgets those that are too old to tell. */
    [[nodiscard]] std::vector<BrokenAttempt> takeCrashed(SteadyTime now);

private:
    struct Open
    {
        BrokenAttempt attempt;
        // Another upstream was reached after the break.
        bool witnessed{false};
        // Its upstream took a connection after the break, be it as the same process or as the next one.
        bool listening{false};
        bool crashed{false};
    };

    std::vector<Open> m_open;
};

} // namespace guavafield
