// The daemon's services that need the platform: configuration, at-most-once calls and usage.
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
#include <guavafield/transport/http/operator_router.hpp>
#include <guavafield/transport/http/request_path.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

namespace guavafield {

/*! @brief What the services are made of; the references outlive them. */
struct OwnPlatformServicesDependencies
{
    boost::asio::any_io_executor executor;
    const DaemonSettings &settings;
    const Clock &clock;
    Counters &counters;
    SnapshotCell<Configuration> &configuration;
    Incarnation incarnation{0};
};

/*! @brief Puts the services together; made only if the settings name a platform. */
class OwnPlatformServices
{
public:
    explicit OwnPlatformServices(OwnPlatformServicesDependencies dependencies);

    /*! @brief Returns the hooks of the request path. */
    [[nodiscard]] PathHooks pathHooks();
    /*! @brief Connects the services to the request path; before start. */
    void setRequestPath(std::shared_ptr<RequestPath> path);
    /*! @brief Registers the operators' handlers. */
    void addOperatorHandlers(OperatorRouter &router);
    /*! @brief Returns the services in the order of their start. */
    [[nodiscard]] std::vector<DaemonService> services();

    [[nodiscard]] ConfigurationService &configuration() noexcept
    {
        return *m_configuration;
    }
    /*! @brief Sets how peers are asked for the configuration and what they know of it; before start. */
    void setPeers(ConfigurationHooks hooks, ConfigurationOperator::PeerStatuses statuses);
    /*! @brief Takes the hosts that may hold the fleet's leases. */
    void setCandidates(std::vector<HostId> candidates);

private:
    [[nodiscard]] ConfigurationHooks makeConfigurationHooks();
    // Tells the request path how old the configuration in force is.
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
