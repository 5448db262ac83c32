// JSON with the rows' values in Base64, since they may be any bytes.
#include <guavafield/protocol/peer/table_text.hpp>

#include <guavafield/protocol/records/base64.hpp>

#include <boost/json.hpp>

namespace guavafield {

namespace json = boost::json;

namespace internal {

json::value toJson(const MirroredRow &row)
{
    json::object result{{"key", row.key}, {"version", row.version}};
    if (row.value) {
        result["value"] = toBase64(*row.value);
    }
    return result;
}

bool readRow(const json::value &value, MirroredRow &row)
{
    const auto *object = value.if_object();
    const auto *key = object != nullptr ? object->if_contains("key") : nullptr;
    const auto *version = object != nullptr ? object->if_contains("version") : nullptr;
    if (key == nullptr || !key->is_string() || version == nullptr || !version->is_number()) {
        return false;
    }
    row.key = std::string(key->get_string());
    row.version = version->to_number<RowVersion>();
    const auto *bytes = object->if_contains("value");
    if (bytes == nullptr) {
        return true;
    }
    row.value = bytes->is_string() ? fromBase64(bytes->get_string()) : std::nullopt;
    return row.value.has_value();
}

} // namespace internal

std::string formatRows(const TableMirror &mirror, RowVersion after)
{
    auto changes = mirror.changesAfter(after);
    const bool whole = !changes.has_value();
    json::array rows;
    for (const auto &it : whole ? mirror.rows() : *changes) {
        rows.push_back(internal::toJson(it));
    }
    return std::string(R"("whole":)") + (whole ? "true" : "false") + R"(,"rows":)" + json::serialize(rows);
}

std::string formatTable(const TableMirror &mirror, std::string_view rows, SteadyTime now)
{
    const auto knowledge = mirror.knowledge(now);
    const auto age = mirror.hasBeenRead() ? knowledge.age.count() : -1;
    std::string text = R"({"content":)" + std::to_string(knowledge.content) + R"(,"complete":)" + std::to_string(knowledge.complete) + R"(,"age_ms":)"
        + std::to_string(age) + ",";
    text.append(rows).append("}");
    return text;
}

Result<TableText> parseTable(std::string_view text)
{
    json::error_code ec;
    const auto value = json::parse(text, ec);
    const auto *object = ec ? nullptr : value.if_object();
    const auto *rows = object != nullptr ? object->if_contains("rows") : nullptr;
    const auto *content = object != nullptr ? object->if_contains("content") : nullptr;
    const auto *complete = object != nullptr ? object->if_contains("complete") : nullptr;
    const auto *age = object != nullptr ? object->if_contains("age_ms") : nullptr;
    const auto *whole = object != nullptr ? object->if_contains("whole") : nullptr;
    const bool valid = rows != nullptr && rows->is_array() && content != nullptr && content->is_number() && complete != nullptr && complete->is_number()
        && age != nullptr && age->is_int64() && age->get_int64() >= 0 && whole != nullptr && whole->is_bool();
    if (!valid) {
        return fail(ResultCode::PeerMessageInvalid, "not a table", "table");
    }
    TableText result;
    result.content = content->to_number<RowVersion>();
    result.complete = complete->to_number<RowVersion>();
    result.age = Milliseconds{age->get_int64()};
    result.whole = whole->get_bool();
    for (const auto &it : rows->get_array()) {
        if (!internal::readRow(it, result.rows.emplace_back())) {
            return fail(ResultCode::PeerMessageInvalid, "not a row", "rows[" + std::to_string(result.rows.size() - 1) + "]");
        }
    }
    return result;
}

} // namespace guavafield
