// Filters of headers.
#include <guavafield/transport/http/headers.hpp>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace guavafield {

namespace internal {

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr std::string_view ownPrefix = "X-Guavafield-";

// Headers of one connection, and those that the daemon sets itself.
constexpr std::array connectionHeaders{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::proxy_authenticate,
    http::field::te,
    http::field::trailer,
    http::field::upgrade,
    http::field::transfer_encoding,
    http::field::content_length,
};

// Credentials, and headers that concern the daemon only.
constexpr std::array callerOnlyHeaders{
    http::field::authorization,
    http::field::proxy_authorization,
    http::field::cookie,
    http::field::cookie2,
    http::field::host,
    http::field::expect,
    http::field::accept_encoding,
};

bool ownHeader(std::string_view name)
{
    return name.size() >= ownPrefix.size() && iequals(name.substr(0, ownPrefix.size()), ownPrefix);
}

bool namedByConnection(const http::fields &fields, std::string_view name)
{
    const auto [first, last] = fields.equal_range(http::field::connection);
    return std::any_of(first, last, [&](const auto &it) { return http::token_list(it.value()).exists(name); });
}

bool passes(const http::fields &fields, const http::fields::value_type &field)
{
    return isEndToEnd(fields, field) && !ownHeader(field.name_string()) && !iequals(field.name_string(), requestIdHeader);
}

} // namespace internal

bool isEndToEnd(const boost::beast::http::fields &fields, const boost::beast::http::fields::value_type &field)
{
    const auto &single = internal::connectionHeaders;
    return std::ranges::find(single, field.name()) == single.end() && !internal::namedByConnection(fields, field.name_string());
}

std::vector<std::pair<std::string, std::string>> endToEndHeaders(const boost::beast::http::fields &from)
{
    std::vector<std::pair<std::string, std::string>> headers;
    for (const auto &it : from) {
        if (isEndToEnd(from, it)) {
            headers.emplace_back(it.name_string(), it.value());
        }
    }
    return headers;
}

void copyRequestHeaders(const boost::beast::http::fields &from, std::string_view presentedKey, boost::beast::http::fields &to)
{
    for (const auto &it : from) {
        const bool callerOnly = std::ranges::find(internal::callerOnlyHeaders, it.name()) != internal::callerOnlyHeaders.end();
        const bool holdsKey = !presentedKey.empty() && std::string_view(it.value()).find(presentedKey) != std::string_view::npos;
        if (!callerOnly && !holdsKey && internal::passes(from, it)) {
            to.insert(it.name_string(), it.value());
        }
    }
}

std::vector<std::pair<std::string, std::string>> answerHeaders(const boost::beast::http::fields &from)
{
    std::vector<std::pair<std::string, std::string>> headers;
    for (const auto &it : from) {
        if (internal::passes(from, it)) {
            headers.emplace_back(it.name_string(), it.value());
        }
    }
    return headers;
}

bool answersAnother(const boost::beast::http::fields &answer, std::string_view requestId)
{
    const std::string_view named = answer[requestIdHeader];
    return !named.empty() && named != requestId;
}

bool promisesNotRun(unsigned status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isEventStream(std::string_view contentType) noexcept
{
    constexpr std::string_view type = "text/event-stream";
    return internal::iequals(contentType.substr(0, type.size()), type);
}

std::string_view bearerToken(const boost::beast::http::fields &fields) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    std::string_view value = fields[boost::beast::http::field::authorization];
    if (value.size() <= scheme.size() || !internal::iequals(value.substr(0, scheme.size()), scheme)) {
        return {};
    }
    value.remove_prefix(scheme.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    return value;
}

std::string_view callerRequestId(const boost::beast::http::fields &fields, std::string_view header) noexcept
{
    const std::string_view value = fields[header];
    const bool printable = std::ranges::all_of(value, [](char it) { return it > ' ' && it < '\x7f'; });
    return printable && value.size() <= maxRequestIdBytes ? value : std::string_view();
}

} // namespace guavafield
