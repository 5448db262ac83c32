// Rates that upstreams grant all hosts together.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>
#include <limits>
#include <string>

namespace guavafield {

/*! @brief Rate of an upstream that names no limit, in requests per second. */
inline constexpr double unlimitedRate = std::numeric_limits<double>::infinity();

/*! @brief What an answer said of an upstream's rate limit; the same on all hosts. */
struct RateLimitObservation
{
    // stableIdHash() of the upstream.
    std::uint64_t upstream{0};
    Incarnation incarnation{0};
    // Requests a second that it takes from all hosts together; unlimitedRate if the limit has ended.
    double perSecond{unlimitedRate};
    // Time since the statement.
    Milliseconds age{0};

    friend bool operator==(const RateLimitObservation &, const RateLimitObservation &) = default;
};

/*! @brief Returns a rate for log lines: "-" if it is unlimited. */
[[nodiscard]] std::string formatRate(double perSecond);

} // namespace guavafield
