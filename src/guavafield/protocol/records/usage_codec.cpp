// JSON encoding of usage and seal rows and of reports.
#include <guavafield/protocol/records/base64.hpp>
#include <guavafield/protocol/records/packed_usage.hpp>
#include <guavafield/protocol/records/record_json.hpp>
#include <guavafield/protocol/records/usage_codec.hpp>
#include <guavafield/state/key_hasher.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace guavafield {

namespace internal {

constexpr std::array<std::string_view, 3> sealStates{"closing", "sealed", "reported"};

std::string encodeUsageRow(const UsageRow &row)
{
    boost::json::array sections;
    for (const auto &it : row.sections) {
        sections.emplace_back(boost::json::array{it.window, toBase64(it.packed)});
    }
    return boost::json::serialize(boost::json::object{{"sections", std::move(sections)}});
}

std::optional<UsageRow> decodeUsageRow(std::string_view text)
{
    return decodeRecord<UsageRow>(text, [](const boost::json::object &object, UsageRow &row) {
        for (const auto &it : object.at("sections").as_array()) {
            const auto &section = it.as_array();
            auto packed = required(fromBase64(section.at(1).as_string()));
            row.sections.push_back({section.at(0).to_number<UsageWindow>(), std::move(packed)});
        }
    });
}

std::string encodeUsageDone(const UsageDone &done)
{
    return boost::json::serialize(boost::json::object{{"last", done.lastRow}});
}

std::optional<UsageDone> decodeUsageDone(std::string_view text)
{
    return decodeRecord<UsageDone>(text, [](const boost::json::object &object, UsageDone &done) { done.lastRow = numberField<std::uint64_t>(object, "last"); });
}

std::string encodeSeal(const SealRecord &record)
{
    boost::json::object object{{"state", sealStates[static_cast<std::size_t>(record.state)]}, {"fence", record.fence}, {"id", record.id}};
    if (record.state != SealState::Closing) {
        object["digest"] = record.digest;
        object["object"] = record.object;
        object["reporter"] = {{"host", record.reporter.host}, {"incarnation", record.reporter.incarnation}};
    }
    return boost::json::serialize(object);
}

std::optional<SealRecord> decodeSeal(std::string_view text)
{
    return decodeRecord<SealRecord>(text, [](const boost::json::object &object, SealRecord &record) {
        record.state = stateField<SealState>(object, sealStates);
        record.fence = numberField<Fence>(object, "fence");
        record.id = textField(object, "id");
        if (record.state != SealState::Closing) {
            record.digest = textField(object, "digest");
            record.object = textField(object, "object");
            const auto &reporter = object.at("reporter").as_object();
            record.reporter = {textField(reporter, "host"), numberField<Incarnation>(reporter, "incarnation")};
        }
    });
}

std::string encodeUsageReport(UsageWindow window, const WindowFigures &figures)
{
    boost::json::array list;
    for (const auto &[figuresWindow, ofWindow] : figures) {
        for (const auto &[subject, counts] : ofWindow) {
            boost::json::object figure{{"team", subject.team},
                                       {"class", subject.className},
                                       {"model", subject.model},
                                       {"requests", counts.requests},
                                       {"prompt_tokens", counts.promptTokens},
                                       {"output_tokens", counts.outputTokens}};
            if (figuresWindow != window) {
                figure["corrects"] = figuresWindow;
            }
            list.emplace_back(std::move(figure));
        }
    }
    return boost::json::serialize(list);
}

std::string usageDigest(std::string_view text)
{
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return toHex(digest);
}

} // namespace internal

UsageCodec usageCodec() noexcept
{
    return {&internal::packUsage,
            &internal::unpackUsage,
            {&internal::encodeUsageRow, &internal::decodeUsageRow},
            {&internal::encodeUsageDone, &internal::decodeUsageDone},
            {&internal::encodeSeal, &internal::decodeSeal},
            &internal::encodeUsageReport,
            &internal::usageDigest};
}

std::string formatUsageReport(UsageWindow window, std::string_view digest, std::string_view figures, const LeaseHolder &reporter)
{
    std::string body(R"({"window":)");
    body.append(std::to_string(window)).append(R"(,"digest":)").append(boost::json::serialize(boost::json::value(digest)));
    const auto name = reporter.host + "/" + std::to_string(reporter.incarnation);
    body.append(R"(,"reporter":)").append(boost::json::serialize(boost::json::value(name)));
    body.append(R"(,"figures":)").append(figures).append("}");
    return body;
}

} // namespace guavafield
