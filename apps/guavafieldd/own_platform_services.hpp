// The daemon's services on Guavafield's own platform: configuration, at-most-once calls and usage.
#pragma once

#include "apps/guavafieldd/daemon_service.hpp"

#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/snapshot_cell.hpp>
#include <guavafield/transport/configuration/configuration_operator.hpp>
#include <guavafield/transport/configuration/configuration_service.hpp>
#include <guavafield/transport/durable/once_service.hpp>
#include <guavafield/transport/durable/usage_service.hpp>
#include <guavafield/transport/http/operators/operator_router.hpp>
#include <guavafield/transport/http/request_path.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

namespace guavafield {

/*! @brief Dependencies of OwnPlatformServices. Referenced objects must outlive it. */
struct OwnPlatformServicesDependencies
{
    boost::asio::any_io_executor executor;
    const DaemonSettings &settings;
    const Clock &clock;
    Counters &counters;
    SnapshotCell<Configuration> &configuration;
    Incarnation incarnation{0};
};

/*! @brief Creates and connects the services; exists only if the settings select Guavafield's own platform. */
class OwnPlatformServices
{
public:
    explicit OwnPlatformServices(OwnPlatformServicesDependencies dependencies);

    /*! @brief Returns the hooks through which the request path calls these services. */
    [[nodiscard]] PathHooks pathHooks();
    /*! @brief Sets the request path that the services update; must be called before the services start. */
    void setRequestPath(std::shared_ptr<RequestPath> path);
    /*! @brief Registers the handlers for configuration, keys and status on the operator server. */
    void addOperatorHandlers(OperatorRouter &router);
    /*! @brief Returns the services in the order in which they must be started. */
    [[nodiscard]] std::vector<DaemonService> services();

    [[nodiscard]] ConfigurationService &configuration() noexcept
    {
        return *m_configuration;
    }
    /*! @brief Sets how to fetch the configuration from peers and list their revisions; must be called before the services start. */
    void setPeers(ConfigurationHooks hooks, ConfigurationOperator::PeerStatuses statuses);
    /*! @brief Sets the hosts that may hold the fleet-wide leases. */
    void setCandidates(std::vector<HostId> candidates);

private:
    [[nodiscard]] ConfigurationHooks makeConfigurationHooks();
    // Passes the time at which the configuration in force was last confirmed to the request path.
    void updateConfigurationAge();
    [[nodiscard]] boost::asio::awaitable<void> updateConfigurationAgePeriodically();

    OwnPlatformServicesDependencies m_dependencies;
    PlatformClient m_platformClient;
    ConfigurationHooks m_peerHooks;
    ConfigurationOperator::PeerStatuses m_peerStatuses;
    std::shared_ptr<RequestPath> m_requestPath;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<ConfigurationOperator> m_configurationOperator;
    std::shared_ptr<OnceService> m_once;
    std::shared_ptr<UsageService> m_usage;
};

} // namespace guavafield
