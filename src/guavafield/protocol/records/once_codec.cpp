// JSON encoding of at-most-once rows.
#include <guavafield/protocol/records/base64.hpp>
#include <guavafield/protocol/records/once_codec.hpp>
#include <guavafield/protocol/records/record_json.hpp>
#include <guavafield/state/key_hasher.hpp>

#include <array>

namespace guavafield {

namespace internal {

constexpr std::array<std::string_view, 3> onceStates{"started", "settled", "refused"};

std::string encodeOnce(const OnceRecord &record)
{
    boost::json::object object{
        {"state", onceStates[static_cast<std::size_t>(record.state)]}, {"id", record.id}, {"body_digest", toHex(record.bodyDigest)}, {"host", record.host}};
    if (record.state != OnceState::Started) {
        object["settled_at_ms"] = std::chrono::duration_cast<Milliseconds>(record.settledAt.time_since_epoch()).count();
    }
    if (record.answer) {
        boost::json::array headers;
        for (const auto &[name, value] : record.answer->headers) {
            headers.emplace_back(boost::json::array{name, value});
        }
        object["outcome"] = {{"status", record.answer->status}, {"headers", std::move(headers)}, {"body", toBase64(record.answer->body)}};
    }
    return boost::json::serialize(object);
}

std::optional<OnceRecord> decodeOnce(std::string_view text)
{
    return decodeRecord<OnceRecord>(text, [](const boost::json::object &object, OnceRecord &record) {
        record.state = stateField<OnceState>(object, onceStates);
        record.id = textField(object, "id");
        record.bodyDigest = required(digestFromHex(textField(object, "body_digest")));
        record.host = textField(object, "host");
        if (record.state != OnceState::Started) {
            record.settledAt = WallTime{Milliseconds{numberField<Milliseconds::rep>(object, "settled_at_ms")}};
        }
        if (record.state == OnceState::Settled) {
            const auto &outcome = object.at("outcome").as_object();
            record.answer = OnceAnswer{numberField<unsigned>(outcome, "status"), {}, required(fromBase64(textField(outcome, "body")))};
            for (const auto &it : outcome.at("headers").as_array()) {
                const auto &header = it.as_array();
                record.answer->headers.emplace_back(header.at(0).as_string(), header.at(1).as_string());
            }
        }
    });
}

} // namespace internal

OnceCodec onceCodec() noexcept
{
    return {&internal::encodeOnce, &internal::decodeOnce};
}

} // namespace guavafield
