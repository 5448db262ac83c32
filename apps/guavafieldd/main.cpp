// Entry point of the daemon: parses the command line and runs it.
#include "apps/guavafieldd/daemon.hpp"

#include <guavafield/protocol/configuration/configuration_json.hpp>
#include <guavafield/protocol/settings/parse_settings.hpp>
#include <guavafield/protocol/settings/settings_table.hpp>
#include <guavafield/transport/log/log.hpp>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>

#include <algorithm>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <utility>

namespace {

using namespace guavafield;

int exitCode(DaemonExit exit)
{
    return static_cast<int>(exit);
}

LogLevel logLevel(LogThreshold threshold)
{
    return static_cast<LogLevel>(threshold);
}

// Loads a configuration document; prints its errors and returns null if it is invalid.
std::shared_ptr<const Configuration> loadConfiguration(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    auto outcome = parseDocument(text, Configuration{});
    if (const auto *errors = std::get_if<ConfigurationFaults>(&outcome)) {
        for (const auto &it : *errors) {
            std::cerr << file << ": " << it.path << ": " << it.message << " (code " << static_cast<unsigned>(it.code) << ")\n";
        }
        return nullptr;
    }
    auto &configuration = std::get<Configuration>(outcome);
    configuration.revision = std::max<Revision>(configuration.revision, 1);
    return std::make_shared<const Configuration>(std::move(configuration));
}

int runDaemon(const std::string &settingsFile, const std::string &configurationFile, bool checkOnly)
{
    auto outcome = loadSettings(settingsFile);
    if (const auto *errors = std::get_if<std::vector<SettingsError>>(&outcome)) {
        for (const auto &it : *errors) {
            std::cerr << formatSettingsError(it) << "\n";
        }
        return exitCode(DaemonExit::InvalidSettings);
    }
    std::shared_ptr<const Configuration> configuration;
    if (!configurationFile.empty()) {
        configuration = loadConfiguration(configurationFile);
        if (!configuration) {
            return exitCode(DaemonExit::InvalidSettings);
        }
    }
    if (checkOnly) {
        std::cout << settingsFile << ": valid\n";
        return exitCode(DaemonExit::Stopped);
    }
    auto &settings = std::get<DaemonSettings>(outcome);
    setUpLogging(logLevel(settings.log.level));
    try {
        Daemon daemon(std::move(settings), settingsFile);
        if (configuration) {
            daemon.applyConfiguration(std::move(configuration));
        }
        return exitCode(daemon.run());
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "main:", {}, error.what());
        return exitCode(DaemonExit::Failed);
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Routes requests for language models by contract.", "guavafieldd");
    std::string settingsFile;
    std::string configurationFile;
    bool checkOnly = false;
    bool listSettings = false;
    app.set_version_flag("--version", GUAVAFIELD_VERSION);
    app.add_option("--settings", settingsFile, "Settings file (INI)");
    app.add_option("--configuration", configurationFile, "Configuration document (JSON) to serve without the platform");
    app.add_flag("--check", checkOnly, "Check the settings file and exit");
    app.add_flag("--list-settings", listSettings, "Write the table of settings and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? exitCode(DaemonExit::Stopped) : exitCode(DaemonExit::InvalidSettings);
    }
    if (listSettings) {
        std::cout << formatSettingsTable();
        return exitCode(DaemonExit::Stopped);
    }
    if (settingsFile.empty()) {
        std::cerr << "--settings FILE is required\n";
        return exitCode(DaemonExit::InvalidSettings);
    }
    return runDaemon(settingsFile, configurationFile, checkOnly);
}
