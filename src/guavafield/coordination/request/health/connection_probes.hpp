// When to open a connection to an upstream only to see whether it can be reached.
#pragma once

#include <guavafield/coordination/request/split_mix.hpp>
#include <guavafield/state/types.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace guavafield {

/*! @brief What became of a new connection to an upstream. */
enum class ProbeResult : std::uint8_t {
    // The upstream answered on it, whatever the answer; where upstreams can't be asked, it opened.
    Answered,
    // It opened, but no answer came, as behind a proxy that has lost its links.
    Unanswered,
    // The upstream's host answers that nobody listens.
    Refused,
    // No answer in time, or another failure of the network.
    Unreachable,
    // This host could not try.
    NotTried,
};

/*!
 * @brief Schedules probes by upstream, at growing intervals until one gets through.
 *
 * An upstream that gets no requests, or only those that may not be repeated, is found again in this way. Not thread-safe.
 */
class ConnectionProbes
{
public:
    explicit ConnectionProbes(std::uint64_t seed) noexcept : m_random(seed) { }

    /*! @brief Has an upstream probed at this time, if that is earlier than its next probe. */
    void schedule(std::uint64_t upstream, SteadyTime at);
    /*! @brief Returns the upstreams to be probed now; the result of each is to be told. */
    [[nodiscard]] std::vector<std::uint64_t> takeDue(SteadyTime now);
    void onFailed(std::uint64_t upstream, SteadyTime now);
    /*! @brief Ends the probes of an upstream. If one had failed, the others are due at once, as the fault may have been this host's own. */
    void onConnected(std::uint64_t upstream, SteadyTime now);
    void erase(std::uint64_t upstream);

private:
    struct Schedule
    {
        SteadyTime next{};
        Milliseconds interval{0};
        bool underWay{false};
        // A probe has failed since the schedule began.
        bool failed{false};
    };

    SplitMix m_random;
    std::map<std::uint64_t, Schedule> m_schedules;
};

} // namespace guavafield
