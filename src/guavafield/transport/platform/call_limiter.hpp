// Decides when a call to the platform may start: rate, concurrency, urgency and the stagger after an outage.
#pragma once

#include <guavafield/state/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace guavafield {

/*! @brief Order in which calls to the platform are sent when they compete; the first is the most urgent. */
enum class CallUrgency : std::uint8_t {
    // Withdrawals and configuration.
    Configuration,
    Lease,
    Once,
    Usage,
    Rest,
    // not an urgency
    Count,
};

/*! @brief Returns the urgency of calls on a table. */
[[nodiscard]] CallUrgency urgencyOfTable(std::string_view table) noexcept;

/*! @brief Limits of the calls of one host. */
struct CallLimits
{
    // Sustained rate and burst; 330 hosts at an average of 3 calls a second stay within the service's limits.
    double callsPerSecond{50};
    double burst{50};
    std::size_t concurrentCalls{8};
    // Hash of the host's id in [0, 1); spreads the hosts after an outage.
    double phase{0};
};

/*!
 * @brief Queue of calls by urgency, with a token bucket and a limit of concurrent calls.
 *
 * After an outage the less urgent classes wait for a host's own share of 30 s, so that the fleet's backlog does not end the platform's
 * recovery. Not safe for several threads.
 */
class CallLimiter
{
public:
    using CallId = std::uint64_t;

    explicit CallLimiter(CallLimits limits) : m_limits(limits), m_tokens(limits.burst) { }

    /*! @brief Queues a call. */
    void submit(CallId id, CallUrgency urgency);
    /*! @brief Removes a call that has not started. */
    void withdraw(CallId id);
    /*! @brief Returns the next call to start now; it counts as running until finish(). */
    [[nodiscard]] std::optional<CallId> start(SteadyTime now);
    /*! @brief Returns when start() may succeed without another event; empty if it takes an event. */
    [[nodiscard]] std::optional<SteadyTime> nextStart(SteadyTime now) const;
    /*!
     * @brief A started call ended.
     * @param served The platform answered and did not refuse.
     */
    void finish(bool served, SteadyTime now);
    /*! @brief Returns from when on calls of this urgency may start. */
    [[nodiscard]] SteadyTime allowedFrom(CallUrgency urgency) const noexcept
    {
        return m_allowedFrom[static_cast<std::size_t>(urgency)];
    }

private:
    static constexpr auto classes = static_cast<std::size_t>(CallUrgency::Count);

    void refill(SteadyTime now);
    void stagger(SteadyTime now);

    CallLimits m_limits;
    double m_tokens;
    SteadyTime m_refilled{};
    std::size_t m_running{0};
    std::array<std::deque<CallId>, classes> m_queues;
    std::array<SteadyTime, classes> m_allowedFrom{};
    // First failure since the last served call.
    std::optional<SteadyTime> m_failingSince;
};

} // namespace guavafield
