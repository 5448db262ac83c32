// Formats and parses the table service's messages with Boost.JSON.
#include <guavafield/protocol/platform/platform_json.hpp>

#include <boost/json.hpp>

namespace guavafield {

namespace internal {

namespace json = boost::json;

json::object keyToJson(const RowKey &key)
{
    return {{"table", key.table}, {"key", key.key}};
}

json::object conditionToJson(const RowCondition &condition)
{
    auto object = keyToJson(condition.key);
    if (condition.version == 0) {
        object["absent"] = true;
    } else {
        object["version"] = condition.version;
    }
    return object;
}

boost::leaf::error_id responseError(std::string message, std::string path)
{
    return fail(ResultCode::PlatformAnswerInvalid, std::move(message), std::move(path));
}

Result<json::object> parseResponse(std::string_view body)
{
    json::error_code ec;
    auto value = json::parse({body.data(), body.size()}, ec);
    if (ec || !value.is_object()) {
        return responseError("the platform's answer is not a JSON object", {});
    }
    return std::move(value.as_object());
}

const std::string_view *readString(const json::object &object, std::string_view name, std::string_view &text)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_string()) {
        return nullptr;
    }
    text = {value->get_string().data(), value->get_string().size()};
    return &text;
}

bool readVersion(const json::value *value, RowVersion &version)
{
    if (value == nullptr) {
        return false;
    }
    json::error_code ec;
    const auto number = value->to_number<std::uint64_t>(ec);
    if (ec || number == 0) {
        return false;
    }
    version = number;
    return true;
}

bool isTrue(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_bool() && value->get_bool();
}

Result<Row> parseRow(const json::value &value, const std::string &path)
{
    std::string_view table;
    std::string_view key;
    if (!value.is_object() || readString(value.get_object(), "table", table) == nullptr || readString(value.get_object(), "key", key) == nullptr) {
        return responseError("a row has no table or key", path);
    }
    const auto &object = value.get_object();
    Row row{{std::string(table), std::string(key)}, 0, {}};
    if (isTrue(object, "absent")) {
        return row;
    }
    const auto *content = object.if_contains("value");
    if (!readVersion(object.if_contains("version"), row.version) || content == nullptr) {
        return responseError("a row has no version or value", path);
    }
    row.value = json::serialize(*content);
    return row;
}

Result<ReadRows> parseRows(std::string_view body)
{
    BOOST_LEAF_AUTO(object, parseResponse(body));
    const auto *rows = object.if_contains("rows");
    if (rows == nullptr || !rows->is_array()) {
        return responseError("the answer has no rows", "rows");
    }
    ReadRows reply;
    reply.more = isTrue(object, "more");
    for (const auto &it : rows->get_array()) {
        BOOST_LEAF_AUTO(row, parseRow(it, "rows[" + std::to_string(reply.rows.size()) + "]"));
        reply.rows.push_back(std::move(row));
    }
    return reply;
}

Result<TransactionReply> parseConflict(const json::object &object, const Transaction &transaction)
{
    const auto *failed = object.if_contains("failed");
    if (failed == nullptr || !failed->is_object()) {
        return responseError("a refused transaction names no condition", "failed");
    }
    const auto &condition = failed->get_object();
    const auto *index = condition.if_contains("index");
    json::error_code ec;
    const auto position = index == nullptr ? transaction.conditions.size() : index->to_number<std::size_t>(ec);
    if (ec || position >= transaction.conditions.size()) {
        return responseError("a refused transaction names an unknown condition", "failed.index");
    }
    TransactionConflict conflict{position, {transaction.conditions[position].key, 0, {}}};
    if (readVersion(condition.if_contains("version"), conflict.current.version)) {
        const auto *content = condition.if_contains("value");
        conflict.current.value = content == nullptr ? std::string("null") : json::serialize(*content);
    }
    return TransactionReply{std::move(conflict)};
}

} // namespace internal

Result<std::string> formatTransaction(const Transaction &transaction)
{
    namespace json = boost::json;
    json::array conditions;
    for (const auto &it : transaction.conditions) {
        conditions.push_back(internal::conditionToJson(it));
    }
    json::array writes;
    for (const auto &it : transaction.writes) {
        auto write = internal::keyToJson(it.key);
        if (!it.value) {
            write["delete"] = true;
            writes.push_back(std::move(write));
            continue;
        }
        json::error_code ec;
        auto value = json::parse(*it.value, ec);
        if (ec) {
            return internal::responseError("the value of a write is not JSON", "writes[" + std::to_string(writes.size()) + "].value");
        }
        write["value"] = std::move(value);
        writes.push_back(std::move(write));
    }
    return json::serialize(json::object{{"id", transaction.id}, {"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
}

Result<TransactionReply> parseTransactionReply(std::string_view body, const Transaction &transaction)
{
    BOOST_LEAF_AUTO(object, internal::parseResponse(body));
    if (!internal::isTrue(object, "committed")) {
        return internal::parseConflict(object, transaction);
    }
    const auto *versions = object.if_contains("versions");
    if (versions == nullptr || !versions->is_array() || versions->get_array().size() != transaction.writes.size()) {
        return internal::responseError("a committed transaction does not list a version for each write", "versions");
    }
    TransactionCommitted committed;
    for (const auto &it : versions->get_array()) {
        // A deleted row has no version; services may send 0 or null for it.
        RowVersion version = 0;
        internal::readVersion(&it, version);
        committed.versions.push_back(version);
    }
    return TransactionReply{std::move(committed)};
}

std::string formatReadRequest(std::span<const RowKey> keys)
{
    boost::json::array gets;
    for (const auto &it : keys) {
        gets.push_back(internal::keyToJson(it));
    }
    return boost::json::serialize(boost::json::object{{"gets", std::move(gets)}});
}

Result<ReadRows> parseReadReply(std::string_view body, std::span<const RowKey> keys)
{
    BOOST_LEAF_AUTO(reply, internal::parseRows(body));
    if (reply.rows.size() != keys.size()) {
        return internal::responseError("the answer has another number of rows than were asked for", "rows");
    }
    for (std::size_t n = 0; n < keys.size(); ++n) {
        if (reply.rows[n].key != keys[n]) {
            return internal::responseError("the answer has a row that was not asked for", "rows[" + std::to_string(n) + "]");
        }
    }
    return reply;
}

std::string formatScanRequest(const ScanRange &range)
{
    return boost::json::serialize(boost::json::object{{"table", range.table}, {"from", range.from}, {"to", range.to}, {"limit", range.limit}});
}

Result<ReadRows> parseScanReply(std::string_view body, const ScanRange &range)
{
    BOOST_LEAF_AUTO(reply, internal::parseRows(body));
    for (std::size_t n = 0; n < reply.rows.size(); ++n) {
        const auto &key = reply.rows[n].key;
        const bool ascending = n == 0 || reply.rows[n - 1].key.key < key.key;
        if (key.table != range.table || key.key < range.from || (!range.to.empty() && key.key >= range.to) || !ascending) {
            return internal::responseError("the answer has a row outside the range or out of order", "rows[" + std::to_string(n) + "]");
        }
    }
    return reply;
}

} // namespace guavafield
