// Table of all settings, used by the parser, --list-settings and the test of the reference page.
#pragma once

#include <guavafield/protocol/settings/daemon_settings.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Type of a setting's value. */
enum class SettingKind : std::uint8_t {
    Text,
    // Letters, digits, hyphens, underscores and dots.
    Identifier,
    Address,
    // Addresses with ports, separated by commas.
    SocketAddresses,
    Integer,
    // Seconds; may be fractional.
    FractionalSeconds,
    // May be fractional.
    PositiveNumber,
    PlatformKind,
    Port,
    HexDigest,
    LogLevel,
};

/*! @brief Describes one setting and how to read and write it. */
struct SettingInfo
{
    std::string_view section;
    // Ends with the unit if the value has one.
    std::string_view key;
    SettingKind kind{SettingKind::Text};
    // Empty if the value is not a quantity.
    std::string_view unit;
    // Only for integers and ports.
    std::uint64_t minimum{0};
    std::uint64_t maximum{0};
    bool required{false};
    std::string_view description;
    // Parses a value and sets the member; returns false if the value's format is invalid. The range of integers has been checked before.
    std::function<bool(DaemonSettings &, std::string_view)> assign;
    // Formats the member; used for the table of defaults.
    std::function<std::string(const DaemonSettings &)> format;
};

/*! @brief Returns all settings, grouped by section. */
[[nodiscard]] std::span<const SettingInfo> settingsTable();

/*! @brief Parses comma-separated address:port entries; returns false if one is invalid. */
[[nodiscard]] bool parseSocketAddresses(std::string_view text, std::vector<SocketAddress> &result);

/*! @brief Returns the range or format of a setting as text, e.g. "1 to 65535". */
[[nodiscard]] std::string describeRange(const SettingInfo &info);

/*! @brief Formats the table as Markdown, one row per setting; docs/reference/settings.md contains the same rows. */
[[nodiscard]] std::string formatSettingsTable();

} // namespace guavafield
