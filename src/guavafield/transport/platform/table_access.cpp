// The product's own platform as a table service.
#include <guavafield/transport/platform/table_access.hpp>

#include <guavafield/protocol/records/host_list.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <utility>

namespace guavafield {

namespace internal {

boost::asio::awaitable<std::vector<ListedHost>> readHosts(PlatformClient &client)
{
    const std::string method("GET");
    const std::string target("/hosts");
    const auto body = co_await client.call(method, target, std::string(), CallUrgency::Lease);
    const auto hosts = body ? parseHostList(*body.value) : std::nullopt;
    co_return hosts.value_or(std::vector<ListedHost>());
}

} // namespace internal

TableAccess tableAccess(PlatformClient &client)
{
    TableAccess access;
    access.transact = [&client](Transaction transaction) { return client.transact(std::move(transaction)); };
    access.read = [&client](std::vector<RowKey> keys) { return client.read(std::move(keys)); };
    access.hosts = [&client] { return internal::readHosts(client); };
    return access;
}

} // namespace guavafield
