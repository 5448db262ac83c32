// Conditional transactions, point reads and range scans of the table.
#include "standins/platform/table.hpp"

#include "standins/common/http_server.hpp"

namespace guavafield::standin {

namespace {

const json::array &arrayMember(const json::object &object, std::string_view name)
{
    static const json::array empty;
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->as_array() : empty;
}

std::pair<std::string, std::string> rowKey(const json::object &object)
{
    return {stringOrEmpty(object, "table"), stringOrEmpty(object, "key")};
}

bool allNameRows(const json::array &items)
{
    for (const auto &it : items) {
        if (!it.is_object() || stringOrEmpty(it.as_object(), "table").empty() || stringOrEmpty(it.as_object(), "key").empty()) {
            return false;
        }
    }
    return true;
}

TransactionalTable::Response malformedCall()
{
    return {400, json::object{{"error", "malformed call"}}};
}

} // namespace

const TransactionalTable::Row *TransactionalTable::findRow(const Key &key) const
{
    const auto it = m_rows.find(key);
    return it != m_rows.end() && it->second.exists ? &it->second : nullptr;
}

bool TransactionalTable::isSatisfied(const json::object &condition, const Row *row) const
{
    if (boolOr(condition, "absent", false)) {
        return row == nullptr;
    }
    return row != nullptr && static_cast<double>(row->version) == numberOr(condition, "version", -1);
}

TransactionalTable::Response TransactionalTable::transact(const json::object &call)
{
    const auto &conditions = arrayMember(call, "conditions");
    const auto &writes = arrayMember(call, "writes");
    if (!allNameRows(conditions) || !allNameRows(writes)) {
        return malformedCall();
    }
    for (std::size_t n = 0; n < conditions.size(); ++n) {
        const auto &condition = conditions[n].as_object();
        const auto *row = findRow(rowKey(condition));
        if (!isSatisfied(condition, row)) {
            json::object failed{{"index", n}, {"version", row != nullptr ? row->version : 0}, {"value", row != nullptr ? row->value : json::value()}};
            return {409, json::object{{"committed", false}, {"failed", std::move(failed)}}};
        }
    }
    json::array versions;
    for (const auto &it : writes) {
        const auto &write = it.as_object();
        auto &row = m_rows[rowKey(write)];
        ++row.version;
        row.exists = !boolOr(write, "delete", false);
        const auto *value = write.if_contains("value");
        row.value = row.exists && value != nullptr ? *value : json::value();
        versions.emplace_back(row.version);
    }
    return {200, json::object{{"committed", true}, {"versions", std::move(versions)}}};
}

TransactionalTable::Response TransactionalTable::read(const json::object &call) const
{
    const auto &gets = arrayMember(call, "gets");
    if (!allNameRows(gets)) {
        return malformedCall();
    }
    json::array rows;
    for (const auto &it : gets) {
        const auto key = rowKey(it.as_object());
        json::object row{{"table", key.first}, {"key", key.second}};
        if (const auto *found = findRow(key); found != nullptr) {
            row["version"] = found->version;
            row["value"] = found->value;
        } else {
            row["absent"] = true;
        }
        rows.emplace_back(std::move(row));
    }
    return {200, json::object{{"rows", std::move(rows)}}};
}

TransactionalTable::Response TransactionalTable::scan(const json::object &call) const
{
    const auto table = stringOrEmpty(call, "table");
    const auto to = stringOrEmpty(call, "to");
    const auto limit = static_cast<std::size_t>(numberOr(call, "limit", 256));
    json::array rows;
    bool more = false;
    for (auto it = m_rows.lower_bound({table, stringOrEmpty(call, "from")}); it != m_rows.end() && it->first.first == table; ++it) {
        if (!to.empty() && it->first.second >= to) {
            break;
        }
        if (!it->second.exists) {
            continue;
        }
        if (rows.size() >= limit) {
            more = true;
            break;
        }
        rows.emplace_back(json::object{{"table", table}, {"key", it->first.second}, {"version", it->second.version}, {"value", it->second.value}});
    }
    return {200, json::object{{"rows", std::move(rows)}, {"more", more}}};
}

} // namespace guavafield::standin
