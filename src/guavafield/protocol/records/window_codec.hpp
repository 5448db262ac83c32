// The sealed figures of a billing window, and the floor of the windows to be sealed, as values of rows.
#pragma once

#include <guavafield/coordination/usage/seal_floor.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace guavafield {

[[nodiscard]] std::string encodeFigures(const TeamCounts &figures);
/*! @brief Empty if the text is malformed. */
[[nodiscard]] std::optional<TeamCounts> decodeFigures(std::string_view text);

[[nodiscard]] std::string encodeSealFloor(const SealFloorRecord &record);
/*! @brief Empty if the text is malformed. */
[[nodiscard]] std::optional<SealFloorRecord> decodeSealFloor(std::string_view text);

} // namespace guavafield
