// Parses INI files with Boost.PropertyTree. The tree has no line numbers, so a separate index of the lines provides them for error messages.
#include <guavafield/protocol/settings/parse_settings.hpp>

#include <guavafield/protocol/settings/settings_table.hpp>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace guavafield {

namespace internal {

using LineIndex = std::map<std::pair<std::string, std::string>, std::size_t>;

std::string_view trimWhitespace(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r";
    const auto first = text.find_first_not_of(whitespace);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

// Maps (section, key) to the line number; section headers have an empty key.
LineIndex indexLines(std::string_view text)
{
    LineIndex index;
    std::string section;
    for (std::size_t number = 1; !text.empty(); ++number) {
        const auto end = text.find('\n');
        const auto line = trimWhitespace(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (line.empty() || line.front() == ';' || line.front() == '#') {
            continue;
        }
        if (line.front() == '[') {
            section = std::string(trimWhitespace(line.substr(1, line.find(']') - 1)));
            index.try_emplace({section, {}}, number);
        } else {
            index.try_emplace({section, std::string(trimWhitespace(line.substr(0, line.find('='))))}, number);
        }
    }
    return index;
}

class SettingsReader
{
public:
    SettingsReader(std::string_view text, std::string_view fileName) : m_text(text), m_file(fileName), m_lines(indexLines(text)) { }

    SettingsParseResult read()
    {
        boost::property_tree::ptree tree;
        try {
            std::istringstream stream{std::string(m_text)};
            boost::property_tree::read_ini(stream, tree);
        } catch (const boost::property_tree::ini_parser_error &error) {
            return std::vector{SettingsError{ResultCode::SettingsUnreadable, m_file, error.line(), {}, {}, error.message()}};
        }
        for (const auto &[section, keys] : tree) {
            readSection(section, keys);
        }
        checkRequired(tree);
        checkFleetSecret(tree);
        if (m_errors.empty()) {
            return m_settings;
        }
        std::ranges::stable_sort(m_errors, {}, &SettingsError::line);
        return m_errors;
    }

private:
    void addError(ResultCode code, const std::string &section, const std::string &key, std::string message)
    {
        const auto it = m_lines.find({section, key});
        m_errors.push_back({code, m_file, it == m_lines.end() ? 0 : it->second, section, key, std::move(message)});
    }

    void readSection(const std::string &section, const boost::property_tree::ptree &keys)
    {
        const auto table = settingsTable();
        if (keys.empty() && !keys.data().empty()) {
            addError(ResultCode::SettingUnknown, {}, section, "the key is outside of any section");
        } else if (std::ranges::none_of(table, [&](const SettingInfo &it) { return it.section == section; })) {
            addError(ResultCode::SettingUnknown, section, {}, "unknown section");
        } else {
            for (const auto &[key, value] : keys) {
                readValue(section, key, value.data());
            }
        }
    }

    void readValue(const std::string &section, const std::string &key, const std::string &value)
    {
        const auto table = settingsTable();
        const auto info = std::ranges::find_if(table, [&](const SettingInfo &it) { return it.section == section && it.key == key; });
        if (info == table.end()) {
            addError(ResultCode::SettingUnknown, section, key, "unknown key");
        } else if (!inRange(*info, value) || !info->assign(m_settings, value)) {
            addError(ResultCode::SettingInvalid, section, key, "must be " + describeRange(*info));
        }
    }

    static bool inRange(const SettingInfo &info, const std::string &value)
    {
        if (info.kind != SettingKind::Integer && info.kind != SettingKind::Port) {
            return true;
        }
        std::uint64_t number = 0;
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
        return ec == std::errc() && end == value.data() + value.size() && number >= info.minimum && number <= info.maximum;
    }

    void checkRequired(const boost::property_tree::ptree &tree)
    {
        for (const auto &it : settingsTable()) {
            if (it.required && !contains(tree, it.section, it.key)) {
                addError(ResultCode::SettingMissing, std::string(it.section), std::string(it.key), "the setting is required");
            }
        }
    }

    void checkFleetSecret(const boost::property_tree::ptree &tree)
    {
        const bool hasText = contains(tree, "host", "fleet_secret");
        const bool hasFile = contains(tree, "host", "fleet_secret_file");
        if (hasText && hasFile) {
            addError(ResultCode::SettingInvalid, "host", "fleet_secret_file", "either fleet_secret or fleet_secret_file may be set");
        } else if (!hasText && !hasFile) {
            addError(ResultCode::SettingMissing, "host", "fleet_secret", "fleet_secret or fleet_secret_file is required");
        } else if (m_settings.host.fleetSecret.empty() && m_settings.host.fleetSecretFile.empty()) {
            addError(ResultCode::SettingInvalid, "host", hasText ? "fleet_secret" : "fleet_secret_file", "must not be empty");
        }
    }

    static bool contains(const boost::property_tree::ptree &tree, std::string_view section, std::string_view key)
    {
        const auto it = tree.find(std::string(section));
        return it != tree.not_found() && it->second.find(std::string(key)) != it->second.not_found();
    }

    std::string_view m_text;
    std::string m_file;
    LineIndex m_lines;
    DaemonSettings m_settings;
    std::vector<SettingsError> m_errors;
};

std::optional<std::string> readFile(const std::string &fileName)
{
    std::ifstream stream(fileName, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

} // namespace internal

std::string formatSettingsError(const SettingsError &error)
{
    std::string text = error.file + ":" + std::to_string(error.line) + ": ";
    if (!error.section.empty()) {
        text += "[" + error.section + "] ";
    }
    if (!error.key.empty()) {
        text += error.key + ": ";
    }
    return text + error.message + " (code " + std::to_string(static_cast<unsigned>(error.code)) + ")";
}

SettingsParseResult parseSettings(std::string_view text, std::string_view fileName)
{
    return internal::SettingsReader(text, fileName).read();
}

SettingsParseResult loadSettings(const std::string &fileName)
{
    const auto text = internal::readFile(fileName);
    if (!text) {
        return std::vector{SettingsError{ResultCode::SettingsUnreadable, fileName, 0, {}, {}, "the file cannot be read"}};
    }
    auto outcome = parseSettings(*text, fileName);
    auto *settings = std::get_if<DaemonSettings>(&outcome);
    if (settings == nullptr || settings->host.fleetSecretFile.empty()) {
        return outcome;
    }
    const auto secret = internal::readFile(settings->host.fleetSecretFile);
    settings->host.fleetSecret = std::string(internal::trimWhitespace(std::string_view(secret.value_or("")).substr(0, secret.value_or("").find('\n'))));
    if (settings->host.fleetSecret.empty()) {
        return std::vector{SettingsError{ResultCode::SettingsUnreadable, fileName, 0, "host", "fleet_secret_file", "the file cannot be read or is empty"}};
    }
    return outcome;
}

} // namespace guavafield
