// A request to the platform and its answer, as they stand in HTTP.
#pragma once

#include <guavafield/state/types.hpp>
#include <guavafield/transport/platform/call_limiter.hpp>

#include <boost/beast/http/verb.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavafield::internal {

/*! @brief How far an exchange came. */
enum class ExchangeEnd : std::uint8_t {
    Answered,
    // No byte of the request left this host.
    NotSent,
    // The request was sent, at least in part, and its answer is missing.
    Lost,
};

struct PlatformRequest
{
    boost::beast::http::verb method{boost::beast::http::verb::get};
    std::string target;
    std::string body;
    CallUrgency urgency{CallUrgency::Rest};
    // A repeat does no harm, so a broken kept connection is no reason to fail.
    bool repeatable{false};
    std::vector<std::pair<std::string, std::string>> headers{};
    std::optional<Milliseconds> timeout{};
    std::function<bool()> stillAllowed{};
};

struct PlatformAnswer
{
    ExchangeEnd end{ExchangeEnd::NotSent};
    unsigned status{0};
    std::string body;
    std::uint64_t epoch{0};

    // The platform answered and did not refuse for its limits or an outage.
    [[nodiscard]] bool served() const noexcept
    {
        return end == ExchangeEnd::Answered && status != 429 && status != 503;
    }
};

} // namespace guavafield::internal
