// Commands on items, keys, configuration documents and the host.
#include "apps/guavafieldctl/commands.hpp"

#include "apps/guavafieldctl/table_output.hpp"

#include <guavafield/protocol/configuration/configuration_json.hpp>

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace guavafield::ctl {

namespace json = boost::json;

namespace {

const std::string configurationPath = "/admin/configuration";

void print(const CommandContext &context, const json::value &value, const std::string &text)
{
    std::cout << (context.json ? formatIndented(value) : text);
}

json::object fetchConfiguration(const CommandContext &context)
{
    return context.client.get(configurationPath).as_object();
}

const json::object *findItem(const json::object &configuration, std::string_view kind, const std::string &id)
{
    for (const auto &it : configuration.at({kind.data(), kind.size()}).as_array()) {
        if (cellText(it, "id") == id) {
            return &it.as_object();
        }
    }
    return nullptr;
}

const json::object &requireItem(const json::object &configuration, std::string_view kind, const std::string &id)
{
    const auto *item = findItem(configuration, kind, id);
    if (item == nullptr) {
        throw CommandError(NotFound, "no item \"" + id + "\" in " + std::string(kind));
    }
    return *item;
}

void sendChange(const CommandContext &context, const json::object &configuration, json::object change)
{
    const auto response =
        context.client.post(configurationPath, json::object{{"expected_revision", configuration.at("revision")}, {"change", std::move(change)}});
    print(context, response, "revision " + cellText(response, "revision") + "\n");
}

void upsert(const CommandContext &context, const json::object &configuration, std::string_view kind, json::object item)
{
    sendChange(context, configuration, {{"upsert", json::object{{kind, json::array{std::move(item)}}}}});
}

TextTable makeTable(std::span<const std::string_view> columns, const json::array &items)
{
    TextTable table;
    for (const auto it : columns) {
        // The column heading is the last component of the path.
        const auto name = it.substr(it.rfind('.') + 1);
        table.heading.emplace_back(name);
    }
    for (const auto &item : items) {
        auto &row = table.rows.emplace_back();
        for (const auto it : columns) {
            row.push_back(cellText(item, it));
        }
    }
    return table;
}

std::string readFile(const std::string &name)
{
    std::ostringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(name);
    if (!file) {
        throw CommandError(UsageError, "the file " + name + " cannot be read");
    }
    text << file.rdbuf();
    return text.str();
}

bool isChange(const json::value &document)
{
    const auto *object = document.if_object();
    return object != nullptr && (object->contains("upsert") || object->contains("remove"));
}

[[noreturn]] void throwInvalidDocument(const ConfigurationFaults &faults)
{
    std::string message = "invalid document:";
    for (const auto &it : faults) {
        message += "\n  " + it.path + ": " + it.message + " (code " + std::to_string(static_cast<unsigned>(it.code)) + ")";
    }
    throw CommandError(InvalidDocument, message);
}

/*! @brief Parses a file; a change is also validated as far as possible without the configuration in force. */
json::value checkDocument(const std::string &file, const std::string &text)
{
    auto document = parseText(text, file);
    if (isChange(document)) {
        const auto parsed = parseChange(text);
        if (const auto *faults = std::get_if<ConfigurationFaults>(&parsed)) {
            throwInvalidDocument(*faults);
        }
    }
    return document;
}

/*! @brief Prints the metrics with a nonzero value whose name starts with a prefix. */
void printMetrics(const CommandContext &context, const std::string &prefix)
{
    std::istringstream lines(context.client.send("GET", "/metrics"));
    TextTable table{{"counter", "value"}, {}};
    json::object object;
    for (std::string line; std::getline(lines, line);) {
        const auto end = line.rfind(' ');
        if (line.starts_with('#') || end == std::string::npos || !line.starts_with(prefix) || line.substr(end + 1) == "0") {
            continue;
        }
        const auto name = line.substr(0, end);
        table.rows.push_back({name, line.substr(end + 1)});
        json::error_code ec;
        const auto number = json::parse(line.substr(end + 1), ec);
        object[name] = ec ? json::value(line.substr(end + 1)) : number;
    }
    print(context, object, format(table));
}

} // namespace

void listItems(const CommandContext &context, const ItemKind &kind)
{
    const auto configuration = fetchConfiguration(context);
    const auto &items = configuration.at({kind.name.data(), kind.name.size()}).as_array();
    print(context, items, format(makeTable(kind.columns, items)));
}

void showItem(const CommandContext &context, const ItemKind &kind, const std::string &id)
{
    const auto configuration = fetchConfiguration(context);
    std::cout << formatIndented(requireItem(configuration, kind.name, id));
}

void createItem(const CommandContext &context, const ItemKind &kind, const std::string &id, const OptionValues &values)
{
    const auto configuration = fetchConfiguration(context);
    if (findItem(configuration, kind.name, id) != nullptr) {
        throw CommandError(Conflict, "the " + std::string(kind.singular) + " \"" + id + "\" already exists; use the change command to modify it");
    }
    json::object item{{"id", id}};
    setFields(item, kind, values);
    upsert(context, configuration, kind.name, std::move(item));
}

void changeItem(const CommandContext &context, const ItemKind &kind, const std::string &id, const OptionValues &values)
{
    const auto configuration = fetchConfiguration(context);
    auto item = requireItem(configuration, kind.name, id);
    setFields(item, kind, values);
    upsert(context, configuration, kind.name, std::move(item));
}

void removeItem(const CommandContext &context, const std::string &kind, const std::string &id)
{
    const auto configuration = fetchConfiguration(context);
    static_cast<void>(requireItem(configuration, kind, id));
    sendChange(context, configuration, {{"remove", json::object{{kind, json::array{json::string(id)}}}}});
}

void listKeys(const CommandContext &context)
{
    static constexpr std::string_view columns[] = {"id", "team", "withdrawn"};
    const auto response = context.client.get("/admin/keys");
    print(context, response.at("keys"), format(makeTable(columns, response.at("keys").as_array())));
}

void createKey(const CommandContext &context, const std::string &team, const std::string &id)
{
    json::object request{{"team", team}};
    if (!id.empty()) {
        request["id"] = id;
    }
    const auto response = context.client.post("/admin/keys", request);
    print(context,
          response,
          "id        " + cellText(response, "id") + "\nsecret    " + cellText(response, "secret") + "\nrevision  " + cellText(response, "revision")
              + "\nThe secret is not stored and cannot be shown again.\n");
}

void withdrawKey(const CommandContext &context, const std::string &id)
{
    const auto response = context.client.post("/admin/keys/" + id + "/withdraw", json::object());
    const bool recorded = cellText(response, "recorded") == "yes";
    print(context,
          response,
          recorded ? "withdrawn with revision " + cellText(response, "revision") + "\n"
                   : "withdrawn through gossip; the host will store the withdrawal when the platform is available: " + cellText(response, "message") + "\n");
}

void showConfiguration(const CommandContext &context)
{
    std::cout << formatIndented(fetchConfiguration(context));
}

void validateOffline(const CommandContext &context, const std::string &file)
{
    const auto text = readFile(file);
    const auto document = checkDocument(file, text);
    if (!isChange(document)) {
        const auto parsed = parseDocument(text, Configuration{});
        if (const auto *faults = std::get_if<ConfigurationFaults>(&parsed)) {
            throwInvalidDocument(*faults);
        }
    }
    print(context, json::object{{"valid", true}}, "valid\n");
}

void sendFile(const CommandContext &context, const std::string &file, std::optional<std::uint64_t> expected, bool validateOnly)
{
    const auto document = checkDocument(file, readFile(file));
    const bool change = isChange(document);
    const auto *documentRevision = change || !document.is_object() ? nullptr : document.get_object().if_contains("revision");
    json::object request{{change ? "change" : "document", document}, {"validate_only", validateOnly}};
    if (expected) {
        request["expected_revision"] = *expected;
    } else if (documentRevision != nullptr) {
        request["expected_revision"] = *documentRevision;
    }
    const auto response = context.client.post(configurationPath, request);
    const bool unchanged = cellText(response, "changed") == "no";
    print(context,
          response,
          (validateOnly    ? "valid at revision "
               : unchanged ? "no difference from revision "
                           : "revision ")
              + cellText(response, "revision") + "\n");
}

void showStatus(const CommandContext &context)
{
    const auto response = context.client.get("/admin/status");
    TextTable table{{"host", "data centre", "revision", "age", "state"}, {}};
    std::string state = cellText(response, "ready") == "yes" ? "ready" : "not ready";
    state += cellText(response, "behind") == "yes" ? ", behind" : "";
    state += cellText(response, "unconfirmed") == "yes" ? ", unconfirmed" : "";
    table.rows.push_back({cellText(response, "host"), "-", cellText(response, "revision"), cellText(response, "confirmation_age_ms") + " ms", state});
    for (const auto &it : response.at("peers").as_array()) {
        table.rows.push_back({cellText(it, "host"), cellText(it, "data_centre"), cellText(it, "revision"), cellText(it, "age_ms") + " ms", "-"});
    }
    print(context, response, format(table));
}

void showCounters(const CommandContext &context)
{
    printMetrics(context, "guavafield_");
}

void showRefusals(const CommandContext &context)
{
    printMetrics(context, "guavafield_refusals_total");
}

void drain(const CommandContext &context)
{
    const auto response = context.client.send("POST", "/admin/drain", "{}");
    print(context, json::object{{"draining", true}}, "the host is draining\n" + (response.empty() ? std::string() : response + "\n"));
}

} // namespace guavafield::ctl
