// JSON encoding of orders.
#include <guavafield/protocol/records/order_codec.hpp>
#include <guavafield/protocol/records/record_json.hpp>

namespace guavafield {

namespace internal {

constexpr std::array<std::string_view, 3> orderStates{"issued", "done", "failed"};

boost::json::object encodeKind(const OrderKind &order)
{
    if (const auto *model = std::get_if<ModelOrder>(&order)) {
        return {{"kind", model->load ? "load" : "unload"}, {"upstream", model->upstream}, {"model", model->model}, {"version", model->version}};
    }
    if (const auto *role = std::get_if<RoleOrder>(&order)) {
        return {{"kind", "role"}, {"upstream", role->upstream}, {"role", role->role}};
    }
    const auto &fleet = std::get<FleetOrder>(order);
    return {{"kind", fleet.start ? "start" : "return"}, {"upstream_kind", describe(fleet.kind)}, {"count", fleet.count}};
}

OrderKind decodeKind(const boost::json::object &object)
{
    const auto kind = textField(object, "kind");
    if (kind == "load" || kind == "unload") {
        return ModelOrder{kind == "load", textField(object, "upstream"), textField(object, "model"), textField(object, "version")};
    }
    if (kind == "role") {
        return RoleOrder{textField(object, "upstream"), textField(object, "role")};
    }
    const auto upstreamKind = textField(object, "upstream_kind");
    if ((kind != "start" && kind != "return") || (upstreamKind != describe(UpstreamKind::Durable) && upstreamKind != describe(UpstreamKind::Cheap))) {
        throw std::invalid_argument("unknown kind of order");
    }
    const auto which = upstreamKind == describe(UpstreamKind::Durable) ? UpstreamKind::Durable : UpstreamKind::Cheap;
    return FleetOrder{kind == "start", which, numberField<std::uint32_t>(object, "count")};
}

std::string encodeOrder(const OrderRecord &record)
{
    return boost::json::serialize(boost::json::object{{"id", record.id},
                                                      {"order", encodeKind(record.order.kind)},
                                                      {"checks_fence", record.order.checksFence},
                                                      {"fence", record.fence},
                                                      {"state", orderStates[static_cast<std::size_t>(record.state)]}});
}

std::optional<OrderRecord> decodeOrder(std::string_view text)
{
    return decodeRecord<OrderRecord>(text, [](const boost::json::object &object, OrderRecord &record) {
        record.id = textField(object, "id");
        record.order.kind = decodeKind(object.at("order").as_object());
        record.order.checksFence = object.at("checks_fence").as_bool();
        record.fence = numberField<Fence>(object, "fence");
        record.state = stateField<OrderState>(object, orderStates);
    });
}

std::string encodeHead(const OrderHead &head)
{
    return boost::json::serialize(boost::json::object{{"fence", head.fence}, {"id", head.id}});
}

std::optional<OrderHead> decodeHead(std::string_view text)
{
    return decodeRecord<OrderHead>(text, [](const boost::json::object &object, OrderHead &head) {
        head.fence = numberField<Fence>(object, "fence");
        head.id = textField(object, "id");
    });
}

std::string encodeBucket(const WeightBucket &bucket)
{
    const auto updated = std::chrono::duration_cast<Milliseconds>(bucket.updated.time_since_epoch()).count();
    return boost::json::serialize(boost::json::object{{"tokens", bucket.tokens}, {"updated_ms", updated}, {"id", bucket.id}});
}

std::optional<WeightBucket> decodeBucket(std::string_view text)
{
    return decodeRecord<WeightBucket>(text, [](const boost::json::object &object, WeightBucket &bucket) {
        bucket.tokens = numberField<double>(object, "tokens");
        bucket.updated = WallTime{Milliseconds{numberField<Milliseconds::rep>(object, "updated_ms")}};
        bucket.id = textField(object, "id");
    });
}

} // namespace internal

OrderCodec orderCodec() noexcept
{
    return {
        {&internal::encodeOrder, &internal::decodeOrder}, {&internal::encodeHead, &internal::decodeHead}, {&internal::encodeBucket, &internal::decodeBucket}};
}

std::string formatUpstreamOrder(std::string_view id, const OrderKind &order, Fence fence)
{
    auto object = internal::encodeKind(order);
    object["id"] = id;
    object["fence"] = fence;
    return boost::json::serialize(object);
}

std::string formatFleetOrder(std::string_view id, std::string_view dataCentre, const FleetOrder &order, Fence fence)
{
    auto object = internal::encodeKind(order);
    object["id"] = id;
    object["data_centre"] = dataCentre;
    object["fence"] = fence;
    return boost::json::serialize(object);
}

bool fleetOrderUnavailable(std::string_view answer)
{
    const auto state =
        internal::decodeRecord<std::string>(answer, [](const boost::json::object &object, std::string &text) { text = internal::textField(object, "state"); });
    return state == "unavailable";
}

} // namespace guavafield
