// Reading and removing of the headers of relaying.
#include <guavafield/transport/http/forwarding/relay_headers.hpp>

#include <charconv>

namespace guavafield {

namespace internal {

template <typename Number>
std::optional<Number> readNumber(std::string_view text) noexcept
{
    Number number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

} // namespace internal

std::optional<Revision> relayedRevision(const boost::beast::http::fields &fields) noexcept
{
    const auto it = fields.find(relayedHeader);
    if (it == fields.end()) {
        return std::nullopt;
    }
    return internal::readNumber<Revision>(it->value()).value_or(0);
}

std::uint32_t relayedAttempts(const boost::beast::http::fields &fields, std::uint32_t routeAttempts) noexcept
{
    const auto attempts = internal::readNumber<std::uint32_t>(fields[relayAttemptsHeader]).value_or(0);
    return attempts > 0 && (routeAttempts == 0 || attempts < routeAttempts) ? attempts : routeAttempts;
}

void eraseRelayHeaders(boost::beast::http::fields &fields)
{
    fields.erase(relayedHeader);
    fields.erase(relayAttemptsHeader);
    fields.erase(relayUpstreamHeader);
}

} // namespace guavafield
