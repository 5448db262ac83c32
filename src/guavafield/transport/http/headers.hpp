// Which headers pass between callers and upstreams.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavafield {

/*! @brief Largest length of a request id that is taken from a caller. */
inline constexpr std::size_t maxRequestIdBytes = 128;

/*!
 * @brief Copies the caller's headers that an upstream may see.
 *
 * Left out are Authorization, cookies, X-Guavafield-*, the headers of one connection, and every header whose value contains the
 * presented key.
 * @param presentedKey May be empty.
 */
void copyRequestHeaders(const boost::beast::http::fields &from, std::string_view presentedKey, boost::beast::http::fields &to);

/*! @brief Returns the headers of an upstream's answer that the caller may see. */
[[nodiscard]] std::vector<std::pair<std::string, std::string>> answerHeaders(const boost::beast::http::fields &from);

/*! @brief Returns whether a header is passed on by a proxy, i.e. concerns more than one connection. */
[[nodiscard]] bool isEndToEnd(const boost::beast::http::fields &fields, const boost::beast::http::fields::value_type &field);
/*! @brief Returns all headers that a proxy passes on. */
[[nodiscard]] std::vector<std::pair<std::string, std::string>> endToEndHeaders(const boost::beast::http::fields &from);

/*! @brief Names a request to the daemon's own kinds of upstreams, which may repeat it in their answers. */
inline constexpr std::string_view requestIdHeader = "X-Request-Id";
/*! @brief Returns whether an answer names another request, e.g. one that was given up or has been answered before. */
[[nodiscard]] bool answersAnother(const boost::beast::http::fields &answer, std::string_view requestId);

/*! @brief Returns whether a status may end an answer, 200 to 599; others are a fault of whoever sent them. */
[[nodiscard]] constexpr bool isFinalStatus(unsigned status) noexcept
{
    return status >= 200 && status <= 599;
}

/*! @brief Returns whether an answer's status promises callers that the request was not run and will not be. */
[[nodiscard]] bool promisesNotRun(unsigned status) noexcept;

/*! @brief Returns whether a Content-Type is that of a stream of events. */
[[nodiscard]] bool isEventStream(std::string_view contentType) noexcept;

/*! @brief Returns the token of a bearer Authorization header; empty if there is none. */
[[nodiscard]] std::string_view bearerToken(const boost::beast::http::fields &fields) noexcept;

/*! @brief Returns the caller's request id, or an empty view if it sent none or one that is too long or not printable. */
[[nodiscard]] std::string_view callerRequestId(const boost::beast::http::fields &fields, std::string_view header) noexcept;

} // namespace guavafield
