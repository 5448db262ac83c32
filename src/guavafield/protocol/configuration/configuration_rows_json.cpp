// Keys, parsing and formatting of the configuration's rows.
#include <guavafield/protocol/configuration/configuration_rows_json.hpp>

#include <guavafield/protocol/configuration/configuration_json.hpp>
#include <guavafield/protocol/configuration/object_reader.hpp>

#include <limits>

namespace guavafield {

namespace internal {

constexpr std::string_view configurationTable = "config";
constexpr std::string_view changePrefix = "change/";
// Keys sort like their numbers.
constexpr std::size_t revisionDigits = 12;

std::string changeKeyText(Revision revision)
{
    auto digits = std::to_string(revision);
    digits.insert(0, revisionDigits - std::min(revisionDigits, digits.size()), '0');
    return std::string(changePrefix).append(digits);
}

boost::leaf::error_id rowFault(const ConfigurationFaults &faults, const std::string &row)
{
    const auto &first = faults.front();
    return fail(ResultCode::PlatformAnswerInvalid, first.message, row + " " + first.path);
}

SchemaVersion readSchema(ObjectReader &reader)
{
    return static_cast<SchemaVersion>(reader.integer("schema", std::nullopt, std::numeric_limits<SchemaVersion>::max()));
}

} // namespace internal

RowKey configurationHeadKey()
{
    return {std::string(internal::configurationTable), "head"};
}

RowKey configurationChangeKey(Revision revision)
{
    return {std::string(internal::configurationTable), internal::changeKeyText(revision)};
}

ScanRange configurationChangeRange(Revision after, Revision upTo)
{
    return {std::string(internal::configurationTable),
            internal::changeKeyText(after + 1),
            internal::changeKeyText(upTo + 1),
            static_cast<std::size_t>(upTo - after)};
}

std::string snapshotObjectName(Revision revision)
{
    return "config-" + std::to_string(revision);
}

Result<ConfigurationHead> parseHead(const Row &row)
{
    ConfigurationHead head;
    head.version = row.version;
    if (row.version == 0) {
        return head;
    }
    ConfigurationFaults faults;
    const auto value = internal::parseJson(row.value, faults);
    internal::ObjectReader reader(value, {}, faults);
    head.revision = reader.integer("revision");
    head.id = reader.text("id");
    head.minimumSchema = internal::readSchema(reader);
    if (!faults.empty()) {
        return internal::rowFault(faults, "config/head");
    }
    return head;
}

Result<ChangeRecord> parseChangeRecord(std::string_view text)
{
    ChangeRecord record;
    record.text = text;
    ConfigurationFaults faults;
    const auto value = internal::parseJson(text, faults);
    internal::ObjectReader reader(value, {}, faults);
    record.revision = reader.integer("revision");
    record.id = reader.text("id");
    record.schema = internal::readSchema(reader);
    if (!reader.has("change")) {
        reader.addFault("change", "this field is missing");
    }
    if (!faults.empty()) {
        return internal::rowFault(faults, "config/change");
    }
    auto change = readChange(value.get_object().at("change"), "change", faults);
    if (faults.empty()) {
        record.change = std::move(change);
    } else {
        record.change = std::move(faults);
    }
    return record;
}

std::string formatChangeRecord(const CommitWrite &write, const ConfigurationChange &change)
{
    return boost::json::serialize(boost::json::object{{"revision", write.revision}, {"id", write.id}, {"schema", schemaVersion}, {"change", toJson(change)}});
}

Transaction makeCommitTransaction(const CommitWrite &write, std::string recordText)
{
    const boost::json::object head{{"revision", write.revision}, {"id", write.id}, {"schema", write.minimumSchema}};
    Transaction transaction;
    transaction.id = write.id;
    transaction.conditions.push_back({configurationHeadKey(), write.headVersion});
    transaction.writes.push_back({configurationHeadKey(), boost::json::serialize(head)});
    transaction.writes.push_back({configurationChangeKey(write.revision), std::move(recordText)});
    return transaction;
}

} // namespace guavafield
