// JSON arrays of change texts.
#include <guavafield/protocol/peer/peer_texts.hpp>

#include <boost/json.hpp>

namespace guavafield {

namespace json = boost::json;

std::string formatChangeTexts(std::span<const std::string> changes)
{
    return json::serialize(json::array(changes.begin(), changes.end()));
}

Result<std::vector<std::string>> parseChangeTexts(std::string_view text)
{
    json::error_code ec;
    const auto value = json::parse(text, ec);
    if (ec || !value.is_array()) {
        return fail(ResultCode::PeerMessageInvalid, "the peer does not have these changes", "changes");
    }
    std::vector<std::string> changes;
    for (const auto &it : value.get_array()) {
        if (!it.is_string()) {
            return fail(ResultCode::PeerMessageInvalid, "a change is not a string", "changes[" + std::to_string(changes.size()) + "]");
        }
        changes.emplace_back(it.get_string());
    }
    return changes;
}

} // namespace guavafield
