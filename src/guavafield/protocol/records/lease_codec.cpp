// JSON encoding of lease rows.
#include <guavafield/protocol/records/lease_codec.hpp>
#include <guavafield/protocol/records/record_json.hpp>

namespace guavafield {

namespace internal {

boost::json::object encodeHolder(const LeaseHolder &holder)
{
    return {{"host", holder.host}, {"incarnation", holder.incarnation}};
}

LeaseHolder decodeHolder(const boost::json::value &value)
{
    const auto &object = value.as_object();
    return {textField(object, "host"), numberField<Incarnation>(object, "incarnation")};
}

std::string encodeLease(const LeaseRecord &record)
{
    boost::json::array unreleased;
    for (const auto &it : record.unreleased) {
        unreleased.emplace_back(encodeHolder(it));
    }
    const auto holder = record.holder ? boost::json::value(encodeHolder(*record.holder)) : boost::json::value(nullptr);
    return boost::json::serialize(boost::json::object{
        {"holder", holder}, {"fence", record.fence}, {"term_ms", record.term.count()}, {"renewal", record.renewal}, {"unreleased", std::move(unreleased)}});
}

std::optional<LeaseRecord> decodeLease(std::string_view text)
{
    return decodeRecord<LeaseRecord>(text, [](const boost::json::object &object, LeaseRecord &record) {
        if (const auto &holder = object.at("holder"); !holder.is_null()) {
            record.holder = decodeHolder(holder);
        }
        record.fence = numberField<Fence>(object, "fence");
        record.term = Milliseconds{numberField<Milliseconds::rep>(object, "term_ms")};
        record.renewal = textField(object, "renewal");
        for (const auto &it : object.at("unreleased").as_array()) {
            record.unreleased.push_back(decodeHolder(it));
        }
    });
}

} // namespace internal

LeaseCodec leaseCodec() noexcept
{
    return {&internal::encodeLease, &internal::decodeLease};
}

} // namespace guavafield
