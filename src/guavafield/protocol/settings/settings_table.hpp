// The table of settings, from which the parser, the program's list and the check of the reference page work.
#pragma once

#include <guavafield/protocol/settings/daemon_settings.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Forms of a setting's value. */
enum class SettingKind : std::uint8_t {
    Text,
    // An id: letters, digits, hyphens, underscores and dots.
    Identifier,
    Address,
    // Addresses with ports, separated by commas.
    SocketAddresses,
    Integer,
    // May have a fraction.
    FractionalSeconds,
    // May have a fraction.
    PositiveNumber,
    PlatformKind,
    Port,
    HexDigest,
    LogLevel,
};

/*! @brief One setting. */
struct SettingInfo
{
    std::string_view section;
    // Ends with the unit where there is one.
    std::string_view key;
    SettingKind kind{SettingKind::Text};
    // Empty where the value is no quantity.
    std::string_view unit;
    // Of integers only.
    std::uint64_t minimum{0};
    std::uint64_t maximum{0};
    bool required{false};
    std::string_view description;
    // Reads a value and sets the member; false if the value has the wrong form. Integers are already in their range.
    std::function<bool(DaemonSettings &, std::string_view)> assign;
    // Writes the member, for the list of defaults.
    std::function<std::string(const DaemonSettings &)> format;
};

/*! @brief Returns all settings, grouped by section. */
[[nodiscard]] std::span<const SettingInfo> settingsTable();

/*! @brief Reads addresses with ports, separated by commas; false if one has another form. */
[[nodiscard]] bool parseSocketAddresses(std::string_view text, std::vector<SocketAddress> &result);

/*! @brief Returns the range or form of a setting in words, e.g. "1 to 65535". */
[[nodiscard]] std::string describeRange(const SettingInfo &info);

/*! @brief Writes the table in Markdown, one row a setting; docs/reference/settings.md holds the same rows. */
[[nodiscard]] std::string formatSettingsTable();

} // namespace guavafield
