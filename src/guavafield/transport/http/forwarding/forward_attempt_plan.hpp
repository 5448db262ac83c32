// What the attempts of a forwarded request send, and how long they wait.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/transport/http/callers/access.hpp>
#include <guavafield/transport/http/forwarding/forward_attempt.hpp>

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace guavafield {

struct PathContext;

/*! @brief The upstream answers at the deadline itself; its answer is given this long to arrive. */
inline constexpr Milliseconds answerGrace{60};

/*! @brief A caller's request with everything that is known of it; its grant holds a ForwardCall. */
struct ForwardPlan
{
    AccessGrant grant;
    // Unique within the fleet.
    RequestId id;
    SteadyTime received{};
    Digest fingerprint{};
    std::string method;
    std::string target;
    // As the caller sent them.
    boost::beast::http::fields headers;
    std::string body;
    // Another host has relayed the request.
    bool relayed{false};
};

/*! @brief How far a request has come when an attempt begins. */
struct AttemptFacts
{
    // Of the attempt, from 1.
    std::uint32_t number{1};
    // Until the deadline.
    Milliseconds left{0};
    // Last numbered event that the caller has.
    std::optional<std::uint64_t> lastEvent;
};

/*! @brief Plans an attempt at an upstream. */
[[nodiscard]] ForwardAttemptPlan makeAttemptPlan(const PathContext &context,
                                                 const ForwardPlan &request,
                                                 const AttemptFacts &facts,
                                                 const Configuration &configuration,
                                                 const DispatchAction &dispatch,
                                                 const Upstream &upstream);

/*!
 * @brief Plans the relay to another host.
 * @param attemptsLeft Attempts that the host may make; 0 leaves that to it.
 */
[[nodiscard]] ForwardAttemptPlan
makeRelayPlan(const PathContext &context, const ForwardPlan &request, const AttemptFacts &facts, const RelayTarget &target, std::uint32_t attemptsLeft);

} // namespace guavafield
