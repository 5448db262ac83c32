// Parses the settings file and reports all errors in it.
#pragma once

#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/state/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief An error in the settings file. */
struct SettingsError
{
    ResultCode code{ResultCode::SettingInvalid};
    std::string file;
    // Counted from 1; 0 if the error has no line, for example a missing setting.
    std::size_t line{0};
    std::string section;
    std::string key;
    std::string message;
};

/*! @brief Formats an error as "file:line: [section] key: message (code 1xxx)". */
[[nodiscard]] std::string formatSettingsError(const SettingsError &error);

using SettingsParseResult = std::variant<DaemonSettings, std::vector<SettingsError>>;

/*!
 * @brief Parses and validates the content of a settings file.
 * @param text The content.
 * @param fileName Name of the file in error messages.
 * @return The settings, or all errors sorted by line.
 */
[[nodiscard]] SettingsParseResult parseSettings(std::string_view text, std::string_view fileName);

/*! @brief Loads and validates a settings file, and the fleet secret file if the settings name one. */
[[nodiscard]] SettingsParseResult loadSettings(const std::string &fileName);

} // namespace guavafield
