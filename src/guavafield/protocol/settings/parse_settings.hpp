// Reads the settings file as a whole and reports every fault in it.
#pragma once

#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/state/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief A fault of the settings file. */
struct SettingsError
{
    ResultCode code{ResultCode::SettingInvalid};
    std::string file;
    // From 1; 0 where the fault is that something is missing.
    std::size_t line{0};
    std::string section;
    std::string key;
    std::string message;
};

/*! @brief Writes a fault as "file:line: [section] key: message (code 1xxx)". */
[[nodiscard]] std::string formatSettingsError(const SettingsError &error);

using SettingsParseResult = std::variant<DaemonSettings, std::vector<SettingsError>>;

/*!
 * @brief Checks a settings file.
 * @param text Its content.
 * @param fileName For the faults.
 * @return The settings, or all faults in the order of the file.
 */
[[nodiscard]] SettingsParseResult parseSettings(std::string_view text, std::string_view fileName);

/*! @brief Reads and checks a settings file and the file of the fleet secret, if it names one. */
[[nodiscard]] SettingsParseResult loadSettings(const std::string &fileName);

} // namespace guavafield
