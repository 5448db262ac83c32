// Parsing of operators' requests and their answers.
#include <guavafield/transport/configuration/configuration_operator.hpp>

#include <guavafield/protocol/configuration/configuration_json.hpp>
#include <guavafield/protocol/configuration/object_reader.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <optional>

namespace guavafield {

namespace json = boost::json;

namespace internal {

constexpr std::string_view keysPrefix = "/admin/keys/";
constexpr std::string_view withdrawSuffix = "/withdraw";
constexpr int createTries = 5;
constexpr std::size_t keyIdDigits = 16;

OperatorReply okReply(const json::object &body)
{
    return {200, json::serialize(body)};
}

OperatorReply errorReply(const Error &error, json::object details = {})
{
    const auto &info = describe(error.code);
    details["message"] = error.message.empty() ? std::string(info.meaning) : error.message;
    details["guavafield_code"] = static_cast<unsigned>(error.code);
    details["code"] = info.name;
    if (!error.place.empty()) {
        details["place"] = error.place;
    }
    return {info.httpStatus == 0 ? 500 : info.httpStatus, json::serialize(json::object{{"error", std::move(details)}})};
}

OperatorReply faultsReply(const ConfigurationFaults &faults)
{
    return errorReply({faults.front().code, faults.front().message, faults.front().path}, {{"faults", toJson(faults)}});
}

OperatorReply conflictReply(Revision current)
{
    return errorReply({ResultCode::ConfigurationConflict, {}, {}}, {{"revision", current}});
}

OperatorReply commitReply(const Outcome<Revision> &outcome, json::object body = {})
{
    if (outcome) {
        body["revision"] = *outcome.value;
        return okReply(body);
    }
    if (outcome.error.code == ResultCode::ConfigurationConflict) {
        return conflictReply(std::stoull(outcome.error.place));
    }
    return errorReply(outcome.error);
}

/*! @brief The body of POST /admin/configuration. */
struct ChangeRequest
{
    json::value body;
    // The revision in force if not given.
    std::optional<Revision> expected;
    bool validateOnly{false};
};

Validated<ChangeRequest> parseChangeRequest(std::string_view text)
{
    ConfigurationFaults faults;
    ChangeRequest request;
    request.body = parseJson(text, faults);
    if (!faults.empty()) {
        return faults;
    }
    ObjectReader reader(request.body, {}, faults);
    if (reader.has("expected_revision")) {
        request.expected = reader.integer("expected_revision");
    }
    request.validateOnly = reader.boolean("validate_only", false);
    static_cast<void>(reader.value("change"));
    static_cast<void>(reader.value("document"));
    reader.finish();
    if (reader.has("change") == reader.has("document")) {
        reader.addFault("change", "a request has either a change or a document");
    }
    if (!faults.empty()) {
        return faults;
    }
    return request;
}

/*! @brief Returns the requested change of a configuration; a document becomes the difference from it. */
Validated<ConfigurationChange> requestedChange(const ChangeRequest &request, const Configuration &current)
{
    ConfigurationFaults faults;
    ConfigurationChange change;
    const auto &body = request.body.get_object();
    if (const auto *value = body.if_contains("change")) {
        change = readChange(*value, "change", faults);
    } else {
        auto wanted = readDocument(body.at("document"), "document", current);
        if (auto *found = std::get_if<ConfigurationFaults>(&wanted)) {
            return std::move(*found);
        }
        change = difference(current, std::get<Configuration>(wanted));
    }
    if (faults.empty()) {
        faults = validateChange(current, change);
    }
    if (!faults.empty()) {
        return faults;
    }
    return change;
}

json::object statusToJson(const FollowerStatus &status)
{
    json::object object{{"revision", status.revision},
                        {"newest_known", status.newestKnown},
                        {"ready", status.ready},
                        {"behind", status.behind},
                        {"unconfirmed", status.unconfirmed}};
    object["confirmation_age_ms"] = status.confirmationAge ? json::value(status.confirmationAge->count()) : json::value(nullptr);
    if (status.applyFault) {
        object["obstacle"] = toJson(ConfigurationFaults{*status.applyFault});
    }
    return object;
}

} // namespace internal

ConfigurationOperator::ConfigurationOperator(std::shared_ptr<ConfigurationService> service, HostId host, KeyHasher hasher, PeerStatuses peers)
    : m_service(std::move(service)), m_host(std::move(host)), m_hasher(std::move(hasher)), m_peers(std::move(peers))
{
}

boost::asio::awaitable<OperatorReply> ConfigurationOperator::handle(std::string method, std::string path, std::string body)
{
    const bool get = method == "GET";
    const bool post = method == "POST";
    if (path == "/admin/configuration" && get) {
        co_return showConfiguration();
    }
    if (path == "/admin/configuration" && post) {
        auto reply = co_await change(std::move(body));
        co_return reply;
    }
    if (path == "/admin/keys" && get) {
        co_return showKeys();
    }
    if (path == "/admin/keys" && post) {
        auto reply = co_await createKey(std::move(body));
        co_return reply;
    }
    if (path == "/admin/status" && get) {
        co_return showStatus();
    }
    if (post && path.starts_with(internal::keysPrefix) && path.ends_with(internal::withdrawSuffix)) {
        const auto length = path.size() - std::min(path.size(), internal::keysPrefix.size() + internal::withdrawSuffix.size());
        auto id = path.substr(internal::keysPrefix.size(), length);
        auto reply = co_await withdrawKey(std::move(id));
        co_return reply;
    }
    co_return internal::errorReply({ResultCode::RouteUnknown, {}, method + " " + path});
}

OperatorReply ConfigurationOperator::showConfiguration() const
{
    return internal::okReply(toJson(*m_service->snapshot()));
}

OperatorReply ConfigurationOperator::showKeys() const
{
    const auto configuration = m_service->snapshot();
    json::array keys;
    for (const auto &[id, key] : configuration->keys) {
        keys.push_back(json::object{{"id", id}, {"team", key.team}, {"withdrawn", key.withdrawn}});
    }
    return internal::okReply({{"revision", configuration->revision}, {"keys", std::move(keys)}});
}

OperatorReply ConfigurationOperator::showStatus() const
{
    auto object = internal::statusToJson(m_service->status());
    object["host"] = m_host;
    json::array peers;
    for (const auto &it : m_peers ? m_peers() : std::vector<PeerConfigurationStatus>{}) {
        peers.push_back(json::object{{"host", it.host}, {"data_centre", it.dataCentre}, {"revision", it.revision}, {"age_ms", it.age.count()}});
    }
    object["peers"] = std::move(peers);
    return internal::okReply(object);
}

boost::asio::awaitable<OperatorReply> ConfigurationOperator::change(std::string body)
{
    const auto parsed = internal::parseChangeRequest(body);
    if (const auto *faults = std::get_if<ConfigurationFaults>(&parsed)) {
        co_return internal::faultsReply(*faults);
    }
    const auto &request = std::get<internal::ChangeRequest>(parsed);
    if (request.expected) {
        // The operator may have seen a newer revision at another host.
        co_await m_service->waitForRevision(*request.expected);
    }
    // The faults and the difference of a document belong to exactly this revision; the commit is conditional on it.
    const auto current = m_service->snapshot();
    const auto expected = request.expected.value_or(current->revision);
    auto wanted = internal::requestedChange(request, *current);
    if (expected < current->revision && !request.validateOnly) {
        const auto *same = std::get_if<ConfigurationChange>(&wanted);
        if (same == nullptr || !isEmpty(*same)) {
            co_return internal::conflictReply(current->revision);
        }
    }
    if (const auto *faults = std::get_if<ConfigurationFaults>(&wanted)) {
        co_return internal::faultsReply(*faults);
    }
    auto change = std::move(std::get<ConfigurationChange>(wanted));
    if (request.validateOnly || isEmpty(change)) {
        co_return internal::okReply({{"revision", current->revision}, {"changed", false}});
    }
    // A host that could not catch up says so; it may not write a difference from an older revision.
    const auto outcome = co_await m_service->commit(std::move(change), expected);
    co_return internal::commitReply(outcome);
}

boost::asio::awaitable<OperatorReply> ConfigurationOperator::createKey(std::string body)
{
    ConfigurationFaults faults;
    const auto value = internal::parseJson(body, faults);
    internal::ObjectReader reader(value, {}, faults);
    const auto secret = makeSecret();
    const auto id = reader.text("id", makeSecret().substr(0, internal::keyIdDigits));
    const auto team = reader.text("team");
    reader.finish();
    if (!faults.empty()) {
        co_return internal::faultsReply(faults);
    }
    if (m_service->snapshot()->keys.contains(id)) {
        co_return internal::errorReply({ResultCode::ConfigurationInvalid, "there is a key with this id", "id"});
    }
    const auto whole = "gf_" + id + "_" + secret;
    Outcome<Revision> outcome;
    for (int n = 0; n < internal::createTries; ++n) {
        ConfigurationChange change;
        change.upsert.keys.push_back({id, team, m_hasher.digest(whole), false});
        const auto base = m_service->snapshot()->revision;
        outcome = co_await m_service->commit(std::move(change), base);
        if (outcome || outcome.error.code != ResultCode::ConfigurationConflict) {
            break;
        }
        const auto current = std::stoull(outcome.error.place);
        co_await m_service->waitForRevision(current);
    }
    co_return internal::commitReply(outcome, {{"id", id}, {"team", team}, {"secret", whole}});
}

boost::asio::awaitable<OperatorReply> ConfigurationOperator::withdrawKey(KeyId id)
{
    const auto configuration = m_service->snapshot();
    if (!configuration->keys.contains(id)) {
        co_return internal::errorReply({ResultCode::ConfigurationItemUnknown, "there is no such key", id});
    }
    auto key = id;
    const auto outcome = co_await m_service->withdraw(std::move(key));
    if (!outcome) {
        // 202: the key has stopped here and by gossip; the record follows once the platform answers.
        json::object answer{{"id", id}, {"recorded", false}, {"message", outcome.error.message}};
        co_return OperatorReply{202, json::serialize(answer)};
    }
    co_return internal::commitReply(outcome, {{"id", id}, {"recorded", true}});
}

} // namespace guavafield
