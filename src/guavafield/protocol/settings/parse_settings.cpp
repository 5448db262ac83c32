// INI parsing with Boost.PropertyTree; the places of faults come from a second look at the lines, since the tree has none.
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

std::string_view trimBlanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Lines of sections, under an empty key, and of keys.
LineIndex indexLines(std::string_view text)
{
    LineIndex index;
    std::string section;
    for (std::size_t number = 1; !text.empty(); ++number) {
        const auto end = text.find('\n');
        const auto line = trimBlanks(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (line.empty() || line.front() == ';' || line.front() == '#') {
            continue;
        }
        if (line.front() == '[') {
            section = std::string(trimBlanks(line.substr(1, line.find(']') - 1)));
            index.try_emplace({section, {}}, number);
        } else {
            index.try_emplace({section, std::string(trimBlanks(line.substr(0, line.find('='))))}, number);
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
        checkSecret(tree);
        if (m_faults.empty()) {
            return m_settings;
        }
        std::ranges::stable_sort(m_faults, {}, &SettingsError::line);
        return m_faults;
    }

private:
    void addFault(ResultCode code, const std::string &section, const std::string &key, std::string message)
    {
        const auto it = m_lines.find({section, key});
        m_faults.push_back({code, m_file, it == m_lines.end() ? 0 : it->second, section, key, std::move(message)});
    }

    void readSection(const std::string &section, const boost::property_tree::ptree &keys)
    {
        const auto table = settingsTable();
        if (keys.empty() && !keys.data().empty()) {
            addFault(ResultCode::SettingUnknown, {}, section, "the key is outside of any section");
        } else if (std::ranges::none_of(table, [&](const SettingInfo &it) { return it.section == section; })) {
            addFault(ResultCode::SettingUnknown, section, {}, "unknown section");
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
            addFault(ResultCode::SettingUnknown, section, key, "unknown key");
        } else if (!inRange(*info, value) || !info->assign(m_settings, value)) {
            addFault(ResultCode::SettingInvalid, section, key, "must be " + describeRange(*info));
        }
    }

    static bool inRange(const SettingInfo &info, const std::string &value)
    {
        if (info.kind != SettingKind::Integer && info.kind != SettingKind::Port) {
            return true;
        }
        std::uint64_t number = 0;
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
        return ec == std::errc() && end == value.data() + value.size() && number >= info.least && number <= info.most;
    }

    void checkRequired(const boost::property_tree::ptree &tree)
    {
        for (const auto &it : settingsTable()) {
            if (it.required && !has(tree, it.section, it.key)) {
                addFault(ResultCode::SettingMissing, std::string(it.section), std::string(it.key), "the setting is required");
            }
        }
    }

    void checkSecret(const boost::property_tree::ptree &tree)
    {
        const bool text = has(tree, "host", "fleet_secret");
        const bool file = has(tree, "host", "fleet_secret_file");
        if (text && file) {
            addFault(ResultCode::SettingInvalid, "host", "fleet_secret_file", "either fleet_secret or fleet_secret_file may be set");
        } else if (!text && !file) {
            addFault(ResultCode::SettingMissing, "host", "fleet_secret", "fleet_secret or fleet_secret_file is required");
        } else if (m_settings.host.fleetSecret.empty() && m_settings.host.fleetSecretFile.empty()) {
            addFault(ResultCode::SettingInvalid, "host", text ? "fleet_secret" : "fleet_secret_file", "must not be empty");
        }
    }

    static bool has(const boost::property_tree::ptree &tree, std::string_view section, std::string_view key)
    {
        const auto it = tree.find(std::string(section));
        return it != tree.not_found() && it->second.find(std::string(key)) != it->second.not_found();
    }

    std::string_view m_text;
    std::string m_file;
    LineIndex m_lines;
    DaemonSettings m_settings;
    std::vector<SettingsError> m_faults;
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

std::string formatSettingsError(const SettingsError &fault)
{
    std::string text = fault.file + ":" + std::to_string(fault.line) + ": ";
    if (!fault.section.empty()) {
        text += "[" + fault.section + "] ";
    }
    if (!fault.key.empty()) {
        text += fault.key + ": ";
    }
    return text + fault.message + " (code " + std::to_string(static_cast<unsigned>(fault.code)) + ")";
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
    settings->host.fleetSecret = std::string(internal::trimBlanks(std::string_view(secret.value_or("")).substr(0, secret.value_or("").find('\n'))));
    if (settings->host.fleetSecret.empty()) {
        return std::vector{SettingsError{ResultCode::SettingsUnreadable, fileName, 0, "host", "fleet_secret_file", "the file cannot be read or is empty"}};
    }
    return outcome;
}

} // namespace guavafield
