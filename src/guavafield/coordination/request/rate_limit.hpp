// Rates that upstreams grant all hosts together.
#pragma once

#include <limits>
#include <string>

namespace guavafield {

/*! @brief Rate of an upstream that names no limit, in requests per second. */
inline constexpr double unlimitedRate = std::numeric_limits<double>::infinity();

/*! @brief Returns a rate for log lines: "-" if it is unlimited. */
[[nodiscard]] std::string formatRate(double perSecond);

} // namespace guavafield
