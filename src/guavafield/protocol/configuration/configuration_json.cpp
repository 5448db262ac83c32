// Reading of documents, changes and snapshots, and their formatting.
#include <guavafield/protocol/configuration/configuration_json.hpp>

#include <guavafield/coordination/configuration/configuration_items.hpp>
#include <guavafield/coordination/configuration/configuration_rows.hpp>
#include <guavafield/protocol/configuration/item_json.hpp>
#include <guavafield/protocol/configuration/object_reader.hpp>

namespace guavafield {

namespace internal {

namespace json = boost::json;

void readItems(ObjectReader &reader, ConfigurationItems &items)
{
    const auto visit = [&reader](std::string_view kind, auto &list) {
        using Item = typename std::decay_t<decltype(list)>::value_type;
        reader.objects(kind, [&list](ObjectReader &element) { list.push_back(ItemJson<Item>::read(element)); });
    };
    forEachKind(visit, items);
}

/*! @brief Reads the items of a document; the caller reads further fields and finishes the reader. */
Validated<Configuration> toConfiguration(ConfigurationItems items, const Configuration &base, ObjectReader &reader, const std::string &path)
{
    Configuration kept;
    ConfigurationChange change{std::move(items), {}};
    const auto keepUnmentioned = [&reader](std::string_view kind, const auto &from, auto &to) {
        if (!reader.has(kind)) {
            to = from;
        }
    };
    forEachKind(keepUnmentioned, base, kept);
    auto faults = validateChange(kept, change, path);
    if (!faults.empty()) {
        return faults;
    }
    const auto insert = [](std::string_view, auto &upserted, auto &to) {
        for (auto &it : upserted) {
            auto id = it.id;
            to.insert_or_assign(std::move(id), std::move(it));
        }
    };
    forEachKind(insert, change.upsert, kept);
    kept.revision = base.revision;
    return kept;
}

template <typename Type>
json::array itemsToJson(const StringMap<Type> &items)
{
    json::array list;
    for (const auto &[id, item] : items) {
        list.push_back(ItemJson<Type>::write(item));
    }
    return list;
}

template <typename Type>
json::array itemsToJson(const std::vector<Type> &items)
{
    json::array list;
    for (const auto &item : items) {
        list.push_back(ItemJson<Type>::write(item));
    }
    return list;
}

} // namespace internal

ConfigurationChange readChange(const boost::json::value &value, const std::string &path, ConfigurationFaults &faults)
{
    ConfigurationChange change;
    internal::ObjectReader reader(value, path, faults);
    if (reader.has("upsert")) {
        auto upsert = reader.object("upsert");
        internal::readItems(upsert, change.upsert);
        upsert.finish();
    }
    if (reader.has("remove")) {
        auto remove = reader.object("remove");
        forEachKind([&remove](std::string_view kind, auto &ids) { ids = remove.texts(kind); }, change.remove);
        remove.finish();
    }
    reader.finish();
    return change;
}

Validated<ConfigurationChange> parseChange(std::string_view text)
{
    ConfigurationFaults faults;
    const auto value = internal::parseJson(text, faults);
    if (!faults.empty()) {
        return faults;
    }
    auto change = readChange(value, {}, faults);
    if (!faults.empty()) {
        return faults;
    }
    return change;
}

Validated<Configuration> readDocument(const boost::json::value &value, const std::string &path, const Configuration &base)
{
    ConfigurationFaults faults;
    ConfigurationItems items;
    internal::ObjectReader reader(value, path, faults);
    internal::readItems(reader, items);
    // A document that was shown by GET may be sent back as it is.
    static_cast<void>(reader.integer("revision", 0));
    reader.finish();
    if (!faults.empty()) {
        return faults;
    }
    return internal::toConfiguration(std::move(items), base, reader, path);
}

Validated<Configuration> parseDocument(std::string_view text, const Configuration &base)
{
    ConfigurationFaults faults;
    const auto value = internal::parseJson(text, faults);
    if (!faults.empty()) {
        return faults;
    }
    return readDocument(value, {}, base);
}

Validated<Configuration> parseSnapshot(std::string_view text)
{
    ConfigurationFaults faults;
    const auto value = internal::parseJson(text, faults);
    if (!faults.empty()) {
        return faults;
    }
    ConfigurationItems items;
    internal::ObjectReader reader(value, {}, faults);
    if (reader.integer("schema") > schemaVersion) {
        reader.addFault("schema", "the snapshot needs a newer schema number", ResultCode::ConfigurationUnknownField);
    }
    const auto revision = reader.integer("revision");
    internal::readItems(reader, items);
    reader.finish();
    if (!faults.empty()) {
        return faults;
    }
    return internal::toConfiguration(std::move(items), Configuration{revision, {}, {}, {}, {}, {}}, reader, {});
}

std::string formatSnapshot(const Configuration &configuration)
{
    auto object = toJson(configuration);
    object["schema"] = schemaVersion;
    return boost::json::serialize(object);
}

std::string formatChange(const ConfigurationChange &change)
{
    return boost::json::serialize(toJson(change));
}

boost::json::object toJson(const Configuration &configuration)
{
    boost::json::object object{{"revision", configuration.revision}};
    forEachKind([&object](std::string_view kind, const auto &items) { object[kind] = internal::itemsToJson(items); }, configuration);
    return object;
}

boost::json::object toJson(const ConfigurationChange &change)
{
    boost::json::object upsert;
    boost::json::object remove;
    const auto visit = [&](std::string_view kind, const auto &upserted, const auto &removed) {
        if (!upserted.empty()) {
            upsert[kind] = internal::itemsToJson(upserted);
        }
        if (!removed.empty()) {
            remove[kind] = boost::json::array(removed.begin(), removed.end());
        }
    };
    forEachKind(visit, change.upsert, change.remove);
    return {{"upsert", std::move(upsert)}, {"remove", std::move(remove)}};
}

boost::json::array toJson(const ConfigurationFaults &faults)
{
    boost::json::array list;
    for (const auto &it : faults) {
        list.push_back(boost::json::object{{"code", static_cast<unsigned>(it.code)}, {"path", it.path}, {"message", it.message}});
    }
    return list;
}

} // namespace guavafield
