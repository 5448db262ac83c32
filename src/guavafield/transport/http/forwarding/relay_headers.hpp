// Headers that hosts add to the requests that they relay to each other, and to the answers.
#pragma once

#include <guavafield/state/types.hpp>

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace guavafield {

/*!
 * @brief Marks a relayed request, which is not relayed again; its value is the revision of the sender's configuration.
 *
 * The receiver checks the caller's key itself, so that the mark gives nobody any right.
 */
inline constexpr std::string_view relayedHeader = "Guavafield-Relayed";
/*! @brief Number of attempts that upstreams may still execute, if that is fewer than the route allows. */
inline constexpr std::string_view relayAttemptsHeader = "Guavafield-Relay-Attempts";
/*! @brief Names the upstream that gave an answer to a relayed request, so that the sender can heed what the upstream says about itself. */
inline constexpr std::string_view relayUpstreamHeader = "Guavafield-Relay-Upstream";

/*! @brief Returns the revision that a relayed request names, 0 if it cannot be read; empty for a request that comes from a caller. */
[[nodiscard]] std::optional<Revision> relayedRevision(const boost::beast::http::fields &fields) noexcept;
/*! @brief Returns the number of attempts that a relayed request names, or the route's where it names none or more. */
[[nodiscard]] std::uint32_t relayedAttempts(const boost::beast::http::fields &fields, std::uint32_t routeAttempts) noexcept;
/*! @brief Removes the headers of relaying. */
void eraseRelayHeaders(boost::beast::http::fields &fields);

} // namespace guavafield
