// JSON object from team to requests.
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

} // namespace guavafield
