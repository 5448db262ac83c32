// The sealed figures of a billing window as the value of a row.
#pragma once

#include <guavafield/coordination/usage/window_aggregator.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace guavafield {

[[nodiscard]] std::string encodeFigures(const TeamCounts &figures);
/*! @brief Empty if the text is malformed. */
[[nodiscard]] std::optional<TeamCounts> decodeFigures(std::string_view text);

} // namespace guavafield
