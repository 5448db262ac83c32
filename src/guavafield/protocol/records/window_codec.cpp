// JSON objects: from team to requests, and of the floor.
#include <guavafield/protocol/records/window_codec.hpp>

#include <boost/json.hpp>

namespace guavafield {

namespace json = boost::json;

std::string encodeFigures(const TeamCounts &figures)
{
    json::object result;
    for (const auto &[team, requests] : figures) {
        result[team] = requests;
    }
    return json::serialize(result);
}

std::optional<TeamCounts> decodeFigures(std::string_view text)
{
    json::error_code ec;
    const auto value = json::parse(text, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    TeamCounts result;
    for (const auto &[team, requests] : value.get_object()) {
        const auto count = requests.to_number<std::uint64_t>(ec);
        if (ec) {
            return std::nullopt;
        }
        result[std::string(team)] = count;
    }
    return result;
}

std::string encodeSealFloor(const SealFloorRecord &record)
{
    return json::serialize(json::object{{"epoch", record.epoch}, {"window", record.window}});
}

std::optional<SealFloorRecord> decodeSealFloor(std::string_view text)
{
    json::error_code ec;
    const auto value = json::parse(text, ec);
    const auto *object = ec ? nullptr : value.if_object();
    const auto *epoch = object != nullptr ? object->if_contains("epoch") : nullptr;
    const auto *window = object != nullptr ? object->if_contains("window") : nullptr;
    if (epoch == nullptr || window == nullptr) {
        return std::nullopt;
    }
    SealFloorRecord result;
    result.epoch = epoch->to_number<RowVersion>(ec);
    if (!ec) {
        result.window = window->to_number<BillingWindow>(ec);
    }
    return ec ? std::nullopt : std::optional(result);
}

} // namespace guavafield
