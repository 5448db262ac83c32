// JSON of the platform's list of hosts.
#include <guavafield/protocol/records/host_list.hpp>
#include <guavafield/protocol/records/record_json.hpp>

namespace guavafield {

std::optional<std::vector<ListedHost>> parseHostList(std::string_view body)
{
    constexpr std::array<std::string_view, 3> states{"live", "leaving", "gone"};
    return internal::decodeRecord<std::vector<ListedHost>>(body, [&](const boost::json::object &object, std::vector<ListedHost> &hosts) {
        for (const auto &it : object.at("hosts").as_array()) {
            const auto &host = it.as_object();
            hosts.push_back(
                {internal::textField(host, "id"), internal::numberField<Incarnation>(host, "incarnation"), internal::stateField<HostState>(host, states)});
        }
    });
}

} // namespace guavafield
