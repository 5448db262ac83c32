// Fields of teams, keys, models, routes and upstreams.
#include <guavafield/protocol/configuration/item_json.hpp>

#include <guavafield/state/key_hasher.hpp>

namespace guavafield::internal {

namespace json = boost::json;

namespace {

constexpr std::string_view modelTarget = "models";
constexpr std::string_view serviceTarget = "service";

// Above the largest tier, so that validation and not narrowing decides.
constexpr std::uint64_t maxTierValue = 255;
constexpr std::uint64_t maxPort = 65'535;
constexpr std::uint64_t maxSlots = 1'000'000;

Tier readTier(ObjectReader &reader, std::optional<std::uint64_t> fallback)
{
    return static_cast<Tier>(reader.integer("tier", fallback, maxTierValue));
}

Milliseconds readMilliseconds(ObjectReader &reader, std::string_view name, std::optional<std::uint64_t> fallback = std::nullopt)
{
    return Milliseconds(static_cast<Milliseconds::rep>(reader.integer(name, fallback)));
}

RequestClass readClass(ObjectReader &reader, Tier contractTier)
{
    RequestClass result;
    result.name = reader.text("name");
    result.tier = readTier(reader, contractTier);
    result.firstTokenTarget = readMilliseconds(reader, "ttft_ms");
    result.totalTarget = readMilliseconds(reader, "total_ms");
    return result;
}

Contract readContract(ObjectReader &reader)
{
    Contract contract;
    contract.tier = readTier(reader, std::nullopt);
    contract.share = reader.number("share", contract.share);
    contract.strictWithdrawal = reader.boolean("strict_withdrawal", false);
    reader.objects("classes", [&contract](ObjectReader &it) { contract.classes.push_back(readClass(it, contract.tier)); });
    return contract;
}

json::object writeClass(const RequestClass &item)
{
    return {{"name", item.name}, {"tier", item.tier}, {"ttft_ms", item.firstTokenTarget.count()}, {"total_ms", item.totalTarget.count()}};
}

json::object writeContract(const Contract &contract)
{
    json::array classes;
    for (const auto &it : contract.classes) {
        classes.push_back(writeClass(it));
    }
    return {{"tier", contract.tier}, {"share", contract.share}, {"strict_withdrawal", contract.strictWithdrawal}, {"classes", std::move(classes)}};
}

json::array writeTexts(const std::vector<std::string> &texts)
{
    return json::array(texts.begin(), texts.end());
}

} // namespace

template <>
Team ItemJson<Team>::read(ObjectReader &reader)
{
    Team team;
    team.id = reader.text("id");
    team.name = reader.text("name", team.id);
    auto contract = reader.object("contract");
    team.contract = readContract(contract);
    contract.finish();
    return team;
}

template <>
json::object ItemJson<Team>::write(const Team &item)
{
    return {{"id", item.id}, {"name", item.name}, {"contract", writeContract(item.contract)}};
}

template <>
ApiKey ItemJson<ApiKey>::read(ObjectReader &reader)
{
    ApiKey key;
    key.id = reader.text("id");
    key.team = reader.text("team");
    key.withdrawn = reader.boolean("withdrawn", false);
    if (const auto digest = digestFromHex(reader.text("digest"))) {
        key.digest = *digest;
    } else if (reader.has("digest")) {
        reader.addFault("digest", "a digest has 64 hexadecimal digits");
    }
    return key;
}

template <>
json::object ItemJson<ApiKey>::write(const ApiKey &item)
{
    return {{"id", item.id}, {"team", item.team}, {"digest", toHex(item.digest)}, {"withdrawn", item.withdrawn}};
}

template <>
Model ItemJson<Model>::read(ObjectReader &reader)
{
    Model model;
    model.id = reader.text("id");
    model.version = reader.text("version", "");
    model.outputCost = reader.number("output_cost", model.outputCost);
    model.promptCost = reader.number("prompt_cost", model.promptCost);
    return model;
}

template <>
json::object ItemJson<Model>::write(const Model &item)
{
    return {{"id", item.id}, {"version", item.version}, {"output_cost", item.outputCost}, {"prompt_cost", item.promptCost}};
}

template <>
Route ItemJson<Route>::read(ObjectReader &reader)
{
    Route route;
    route.id = reader.text("id");
    route.prefix = reader.text("prefix");
    route.open = reader.boolean("open", false);
    route.openTeam = reader.text("open_team", "");
    route.timeout = readMilliseconds(reader, "timeout_ms", static_cast<std::uint64_t>(route.timeout.count()));
    const auto target = reader.text("target", modelTarget);
    if (target == serviceTarget) {
        route.target = ServiceTarget{reader.texts("upstreams"), reader.boolean("repeatable", true)};
    } else if (target != modelTarget) {
        reader.addFault("target", "a target is \"models\" or \"service\"");
    }
    return route;
}

template <>
json::object ItemJson<Route>::write(const Route &item)
{
    json::object object{{"id", item.id}, {"prefix", item.prefix}, {"target", modelTarget}, {"open", item.open}, {"timeout_ms", item.timeout.count()}};
    if (item.open) {
        object["open_team"] = item.openTeam;
    }
    if (const auto *service = std::get_if<ServiceTarget>(&item.target)) {
        object["target"] = serviceTarget;
        object["upstreams"] = writeTexts(service->upstreams);
        object["repeatable"] = service->repeatable;
    }
    return object;
}

template <>
Upstream ItemJson<Upstream>::read(ObjectReader &reader)
{
    Upstream upstream;
    upstream.id = reader.text("id");
    upstream.address = reader.text("address");
    upstream.port = static_cast<std::uint16_t>(reader.integer("port", std::nullopt, maxPort));
    upstream.dataCentre = reader.text("data_centre");
    upstream.zone = reader.text("zone", "");
    const auto kind = reader.text("kind", describe(UpstreamKind::Durable));
    upstream.kind = kind == describe(UpstreamKind::Cheap) ? UpstreamKind::Cheap : UpstreamKind::Durable;
    if (kind != describe(upstream.kind)) {
        reader.addFault("kind", "a kind is \"durable\" or \"cheap\"");
    }
    upstream.slots = static_cast<std::uint32_t>(reader.integer("slots", upstream.slots, maxSlots));
    upstream.costPerHour = reader.number("cost_per_hour", upstream.costPerHour);
    upstream.models = reader.texts("models");
    upstream.checksFence = reader.boolean("checks_fence", false);
    upstream.leaving = reader.boolean("leaving", false);
    return upstream;
}

template <>
json::object ItemJson<Upstream>::write(const Upstream &item)
{
    return {{"id", item.id},
            {"address", item.address},
            {"port", item.port},
            {"data_centre", item.dataCentre},
            {"zone", item.zone},
            {"kind", describe(item.kind)},
            {"slots", item.slots},
            {"cost_per_hour", item.costPerHour},
            {"models", writeTexts(item.models)},
            {"checks_fence", item.checksFence},
            {"leaving", item.leaving}};
}

} // namespace guavafield::internal
