// Tables of the item kinds and their fields, and conversion of option values to JSON.
#include "apps/guavafieldctl/item_fields.hpp"

#include "apps/guavafieldctl/operator_client.hpp"

#include <boost/json.hpp>

#include <array>

namespace guavafield::ctl {

namespace json = boost::json;

namespace {

using enum FieldType;

constexpr ItemField teamFields[] = {
    {"--name", "name", Text, "Name for people"},
    {"--tier", "contract.tier", Number, "Tier, 0 (highest) to 3"},
    {"--share", "contract.share", Number, "Weight among the teams of a tier"},
    {"--class", "contract.classes", ClassList, "Request class NAME:TIER:TTFT_MS:TOTAL_MS; repeat for more, the first is the default"},
    {"--strict-withdrawal", "contract.strict_withdrawal", Boolean, "Refuse the team when withdrawals cannot reach a host (true or false)"},
};
constexpr std::string_view teamColumns[] = {"id", "name", "contract.tier", "contract.share", "contract.classes", "contract.strict_withdrawal"};

constexpr ItemField modelFields[] = {
    {"--model-version", "version", Text, "Version of the weights"},
    {"--output-cost", "output_cost", Number, "Relative cost of an output token"},
    {"--prompt-cost", "prompt_cost", Number, "Relative cost of a prompt token"},
};
constexpr std::string_view modelColumns[] = {"id", "version", "output_cost", "prompt_cost"};

constexpr ItemField routeFields[] = {
    {"--prefix", "prefix", Text, "Path prefix, starts with /"},
    {"--target", "target", Text, "models or service"},
    {"--upstream", "upstreams", TextList, "Plain service; repeat for more"},
    {"--repeatable", "repeatable", Boolean, "false: calls run at most once and need an Idempotency-Key (true or false)"},
    {"--open", "open", Boolean, "No key is needed (true or false)"},
    {"--open-team", "open_team", Text, "Team for which requests of an open route run"},
    {"--timeout-ms", "timeout_ms", Number, "Longest duration of a request"},
};
constexpr std::string_view routeColumns[] = {"id", "prefix", "target", "upstreams", "repeatable", "open_team", "timeout_ms"};

constexpr ItemField upstreamFields[] = {
    {"--at", "address", Address, "IP address and port"},
    {"--data-centre", "data_centre", Text, "Data centre"},
    {"--zone", "zone", Text, "Zone; cheap upstreams of a zone can be lost together"},
    {"--kind", "kind", Text, "durable or cheap"},
    {"--slots", "slots", Number, "Requests that run at once"},
    {"--cost-per-hour", "cost_per_hour", Number, "Cost per hour"},
    {"--model", "models", TextList, "Model that it serves; repeat for more; none for a plain service"},
    {"--checks-fence", "checks_fence", Boolean, "It rejects orders with an old fencing token (true or false)"},
    {"--leaving", "leaving", Boolean, "It gets no new work (true or false)"},
};
constexpr std::string_view upstreamColumns[] = {"id", "address", "port", "data_centre", "zone", "kind", "slots", "models", "leaving"};

constexpr ItemKind kinds[] = {
    {"teams",
     "team",
     "Teams and their contracts",
     "guavafieldctl teams create clinic --tier 1 --share 2 --class lookup:1:500:20000 --class batch:3:60000:600000",
     teamFields,
     teamColumns},
    {"models", "model", "Models", "guavafieldctl models create small --output-cost 1 --prompt-cost 0.1", modelFields, modelColumns},
    {"routes",
     "route",
     "Routes",
     "guavafieldctl routes create booking --prefix /booking/ --target service --upstream booking-1 --repeatable false",
     routeFields,
     routeColumns},
    {"upstreams",
     "upstream",
     "Upstreams: model engines and plain services",
     "guavafieldctl upstreams create e1 --at 10.0.0.7:8000 --data-centre evora --kind cheap --zone a --model small",
     upstreamFields,
     upstreamColumns},
};

json::value parseClass(const std::string &text)
{
    std::array<std::string, 4> parts;
    std::size_t from = 0;
    for (std::size_t n = 0; n < parts.size(); ++n) {
        const auto end = n + 1 == parts.size() ? text.size() : text.find(':', from);
        if (end == std::string::npos || from > text.size()) {
            throw CommandError(UsageError, "--class must be NAME:TIER:TTFT_MS:TOTAL_MS, not \"" + text + "\"");
        }
        parts[n] = text.substr(from, end - from);
        from = end + 1;
    }
    return json::object{{"name", parts[0]},
                        {"tier", parseText(parts[1], "the tier in --class")},
                        {"ttft_ms", parseText(parts[2], "the first-token target in --class")},
                        {"total_ms", parseText(parts[3], "the total target in --class")}};
}

json::value toJson(const ItemField &field, const std::vector<std::string> &values)
{
    json::array list;
    switch (field.type) {
    case ClassList:
        for (const auto &it : values) {
            list.push_back(parseClass(it));
        }
        return list;
    case TextList:
        for (const auto &it : values) {
            list.emplace_back(it);
        }
        return list;
    case Number:
    case Boolean:
        return parseText(values.front(), std::string(field.option));
    case Text:
    case Address:
        break;
    }
    return json::string(values.front());
}

void setAddress(json::object &item, const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw CommandError(UsageError, "--at must be ADDRESS:PORT, not \"" + text + "\"");
    }
    item["address"] = text.substr(0, colon);
    item["port"] = parseText(text.substr(colon + 1), "the port in --at");
}

void setMember(json::object &item, std::string_view path, json::value value)
{
    const auto dot = path.find('.');
    if (dot == std::string_view::npos) {
        item[path] = std::move(value);
        return;
    }
    auto &member = item[path.substr(0, dot)];
    if (!member.is_object()) {
        member = json::object();
    }
    setMember(member.get_object(), path.substr(dot + 1), std::move(value));
}

} // namespace

std::span<const ItemKind> itemKinds() noexcept
{
    return kinds;
}

void addFieldOptions(CLI::App &command, const ItemKind &kind, OptionValues &values)
{
    values.resize(kind.fields.size());
    for (std::size_t n = 0; n < kind.fields.size(); ++n) {
        const auto &field = kind.fields[n];
        auto *option = command.add_option(std::string(field.option), values[n], std::string(field.help));
        const bool repeats = field.type == TextList || field.type == ClassList;
        option->expected(1)->multi_option_policy(repeats ? CLI::MultiOptionPolicy::TakeAll : CLI::MultiOptionPolicy::Throw);
    }
}

void setFields(json::object &item, const ItemKind &kind, const OptionValues &values)
{
    for (std::size_t n = 0; n < kind.fields.size(); ++n) {
        if (values[n].empty()) {
            continue;
        }
        if (kind.fields[n].type == Address) {
            setAddress(item, values[n].front());
        } else {
            setMember(item, kind.fields[n].path, toJson(kind.fields[n], values[n]));
        }
    }
}

} // namespace guavafield::ctl
