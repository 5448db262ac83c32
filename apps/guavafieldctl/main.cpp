// guavafieldctl: command-line tool for operators.
#include "apps/guavafieldctl/commands.hpp"
#include "apps/guavafieldctl/explain.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <vector>

namespace guavafield::ctl {

namespace {

/*! @brief Parsed option values; filled before the selected command runs. */
struct Arguments
{
    ClientOptions client;
    bool json{false};
    std::string id;
    std::string team;
    std::string file;
    std::vector<std::string> files;
    std::optional<std::uint64_t> expected;
    bool offline{false};
    std::vector<std::unique_ptr<OptionValues>> optionValues;
};

using Action = std::function<void(const CommandContext &)>;

/*! @brief Defines the commands; parsing stores the action of the selected one, which run() then executes. */
class CommandLine
{
public:
    CommandLine()
    {
        m_app.require_subcommand(1);
        m_app.set_version_flag("--version", GUAVAFIELD_VERSION);
        m_app.set_config("--settings", settingsFile(), "INI file with address and token")->envname("GUAVAFIELDCTL_SETTINGS");
        m_app.add_option("--address", m_arguments.client.address, "IP address and operator port of a host")->envname("GUAVAFIELD_ADDRESS");
        m_app.add_option("--token", m_arguments.client.token, "Operator token")->envname("GUAVAFIELD_TOKEN");
        m_app.add_flag("--json", m_arguments.json, "Print JSON for scripts");
        m_app.fallthrough();
        m_app.footer("Exit status: 0 done, 1 failed, 2 wrong usage, 3 invalid document, 4 conflict, 5 host unreachable, 6 not authorised,\n"
                     "7 no such item, 8 outcome unknown.\n\n"
                     "Examples:\n"
                     "  guavafieldctl --address 10.0.0.5:9080 status\n"
                     "  guavafieldctl teams create clinic --tier 1 --share 2 --class lookup:1:500:20000\n"
                     "  guavafieldctl keys create --team clinic\n"
                     "  guavafieldctl validate change.json && guavafieldctl apply change.json --expect 41");
        for (const auto &it : itemKinds()) {
            addItemCommands(it);
        }
        addKeyCommands();
        addDocumentCommands();
        addHostCommands();
    }

    int run(int argc, char **argv)
    {
        try {
            m_app.parse(argc, argv);
        } catch (const CLI::ParseError &error) {
            return m_app.exit(error) == 0 ? Done : UsageError;
        }
        try {
            m_action({OperatorClient(m_arguments.client), m_arguments.json});
        } catch (const CommandError &error) {
            std::cerr << "guavafieldctl: " << error.what() << "\n";
            return error.status();
        } catch (const std::exception &error) {
            std::cerr << "guavafieldctl: unexpected response from the host: " << error.what() << "\n";
            return Failed;
        }
        return Done;
    }

private:
    static std::string settingsFile()
    {
        const char *home = std::getenv("HOME");
        return home == nullptr ? std::string() : std::string(home) + "/.guavafieldctl.ini";
    }

    CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &help, Action action)
    {
        auto *command = parent.add_subcommand(name, help);
        command->callback([this, action = std::move(action)] { m_action = action; });
        return command;
    }

    CLI::App *addCommandWithId(CLI::App &parent, const std::string &name, const std::string &help, Action action)
    {
        auto *command = addCommand(parent, name, help, std::move(action));
        command->add_option("id", m_arguments.id, "Id")->required();
        return command;
    }

    void addItemCommands(const ItemKind &kind)
    {
        const std::string name(kind.name);
        const std::string singular(kind.singular);
        auto *parent = m_app.add_subcommand(name, std::string(kind.help));
        parent->require_subcommand(1);
        parent->footer("Example:\n  " + std::string(kind.example));
        if (name == "teams") {
            parent->alias("contracts");
        }
        auto &createValues = *m_arguments.optionValues.emplace_back(std::make_unique<OptionValues>());
        auto &changeValues = *m_arguments.optionValues.emplace_back(std::make_unique<OptionValues>());
        const auto &id = m_arguments.id;
        addCommand(*parent, "list", "List all " + name, [&kind](const CommandContext &context) { listItems(context, kind); });
        addCommandWithId(*parent, "show", "Show a " + singular, [&kind, &id](const CommandContext &context) { showItem(context, kind, id); });
        addCommandWithId(*parent, "remove", "Remove a " + singular, [name, &id](const CommandContext &context) { removeItem(context, name, id); });
        auto *create = addCommandWithId(*parent, "create", "Create a " + singular, [&kind, &id, &createValues](const CommandContext &context) {
            createItem(context, kind, id, createValues);
        });
        addFieldOptions(*create, kind, createValues);
        auto *change = addCommandWithId(*parent, "change", "Change fields of a " + singular, [&kind, &id, &changeValues](const CommandContext &context) {
            changeItem(context, kind, id, changeValues);
        });
        addFieldOptions(*change, kind, changeValues);
    }

    void addKeyCommands()
    {
        auto *parent = m_app.add_subcommand("keys", "API keys");
        parent->require_subcommand(1);
        parent->footer("Examples:\n  guavafieldctl keys create --team clinic\n  guavafieldctl keys withdraw 3f9a01c2d4e5b6a7");
        const auto &arguments = m_arguments;
        addCommand(*parent, "list", "List all keys", [](const CommandContext &context) { listKeys(context); });
        auto *create = addCommand(*parent, "create", "Create a key; its secret is shown once", [&arguments](const CommandContext &context) {
            createKey(context, arguments.team, arguments.id);
        });
        create->add_option("--team", m_arguments.team, "Team that the key belongs to")->required();
        create->add_option("--id", m_arguments.id, "Id; random if not given");
        addCommandWithId(*parent, "withdraw", "Stop a key for good", [&arguments](const CommandContext &context) { withdrawKey(context, arguments.id); });
        addCommandWithId(
            *parent, "remove", "Remove a withdrawn key", [&arguments](const CommandContext &context) { removeItem(context, "keys", arguments.id); });
    }

    void addDocumentCommands()
    {
        const auto &arguments = m_arguments;
        addCommand(m_app, "show", "Print the whole configuration as JSON", [](const CommandContext &context) { showConfiguration(context); });
        auto *validate = addCommand(m_app, "validate", "Check a change or a whole document without applying it", [&arguments](const CommandContext &context) {
            if (arguments.offline) {
                validateOffline(context, arguments.file);
            } else {
                sendFile(context, arguments.file, std::nullopt, true);
            }
        });
        validate->add_option("file", m_arguments.file, "JSON file; - reads standard input")->required();
        validate->add_flag("--offline", m_arguments.offline, "Do not ask a host; references to its items cannot be checked");
        auto *apply = addCommand(m_app, "apply", "Apply a change or a whole document", [&arguments](const CommandContext &context) {
            sendFile(context, arguments.file, arguments.expected, false);
        });
        apply->add_option("file", m_arguments.file, "JSON file; - reads standard input")->required();
        apply->add_option("--expect", m_arguments.expected, "Revision that the change was written for; another one is a conflict");
        apply->footer("A document that show has printed carries its revision; kinds that a document does not mention stay as they are.\n"
                      "Example:\n  guavafieldctl show > all.json; edit all.json; guavafieldctl apply all.json");
    }

    void addHostCommands()
    {
        addCommand(m_app, "status", "Show the revision in force at each known host", [](const CommandContext &context) { showStatus(context); });
        addCommand(m_app, "counters", "Show the counters that are not 0", [](const CommandContext &context) { showCounters(context); });
        addCommand(m_app, "refusals", "Show refused requests by code", [](const CommandContext &context) { showRefusals(context); });
        auto *explain = addCommand(m_app, "explain", "Tell one request's story from logs", [this](const CommandContext &) {
            if (!explainRequest(m_arguments.id, m_arguments.files)) {
                throw CommandError(Failed, "no line concerns request " + m_arguments.id);
            }
        });
        explain->add_option("id", m_arguments.id, "Id of the request")->required();
        explain->add_option("files", m_arguments.files, "Logs of hosts; none: standard input");
        explain->footer("Example:\n  guavafieldctl explain 7760c9c4ba5745d6 host-*.log");
        addCommand(m_app, "drain", "Stop the host gracefully", [](const CommandContext &context) { drain(context); });
    }

    CLI::App m_app{"Operates guavafield hosts: contracts, keys, routes, models, upstreams and state"};
    Arguments m_arguments;
    Action m_action;
};

} // namespace

} // namespace guavafield::ctl

int main(int argc, char **argv)
{
    guavafield::ctl::CommandLine commandLine;
    return commandLine.run(argc, argv);
}
