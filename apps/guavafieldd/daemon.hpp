// Assembly of the daemon from its settings: threads, request path, operators' port, and the services that join them.
#pragma once

#include "apps/guavafieldd/daemon_service.hpp"
#include "apps/guavafieldd/machines_platform_services.hpp"
#include "apps/guavafieldd/own_platform_services.hpp"
#include "apps/guavafieldd/peer_services.hpp"

#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/configuration.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/snapshot_cell.hpp>
#include <guavafield/transport/http/operator_server.hpp>
#include <guavafield/transport/http/request_path.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief How a run of the daemon ended; the values are exit codes. */
enum class DaemonExit : std::uint8_t {
    Stopped = 0,
    Failed = 1,
    // The settings or the command line are invalid.
    InvalidSettings = 2,
    // The shutdown's limit or a second signal ended requests that were running.
    Interrupted = 3,
};

/*! @brief The daemon. Constructed from settings, then run once. */
class Daemon
{
public:
    /*!
     * @brief Opens the listeners; throws boost::system::system_error if an address cannot be used.
     * @param settingsFile Read again on SIGHUP and when it changes; empty: never.
     */
    explicit Daemon(DaemonSettings settings, std::string settingsFile = {});

    /*! @brief Puts a configuration in force and announces it. */
    void applyConfiguration(std::shared_ptr<const Configuration> configuration);
    /*! @brief Adds a service; before run(). */
    void addService(DaemonService service);

    /*! @brief Runs until a graceful shutdown has ended. */
    [[nodiscard]] DaemonExit run();

private:
    [[nodiscard]] std::unique_ptr<OwnPlatformServices> makeOwnPlatformServices();
    [[nodiscard]] std::unique_ptr<MachinesPlatformServices> makeMachinesPlatformServices();
    [[nodiscard]] PathHooks makePathHooks();
    // The one place at which the daemon's services are put together.
    void addServices();
    void addOperatorHandlers();
    // Writes the ports that the system chose to standard output, for scripts.
    void printPorts() const;
    void waitForSignal();
    // Reads the settings file again; takes what can change in a running daemon, and keeps the old settings if the file is faulty.
    void reloadSettings(std::string_view cause);
    // Reloads the settings when the file has changed without a signal.
    [[nodiscard]] boost::asio::awaitable<void> watchSettings();
    void requestStop();
    [[nodiscard]] boost::asio::awaitable<void> stop();
    // Calls one step of a service; a failing service does not keep the others from ending.
    [[nodiscard]] boost::asio::awaitable<void> runStopStep(const std::string &name, const std::function<boost::asio::awaitable<void>()> &step);
    [[nodiscard]] std::vector<std::string> unreadyReasons() const;

    DaemonSettings m_settings;
    std::string m_settingsFile;
    std::string m_settingsText;
    SystemClock m_clock;
    Counters m_counters;
    SnapshotCell<Configuration> m_configuration;
    // This life of the host; a later start has a higher one by the host's own wall clock.
    Incarnation m_incarnation{0};
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    // Empty unless the settings name the product's own platform.
    std::unique_ptr<OwnPlatformServices> m_ownPlatformServices;
    // Empty unless the settings name the machines' platform.
    std::unique_ptr<MachinesPlatformServices> m_machinesPlatformServices;
    std::shared_ptr<RequestPath> m_requestPath;
    std::shared_ptr<OperatorServer> m_operatorServer;
    // Empty unless the settings name the product's own platform.
    std::unique_ptr<PeerServices> m_peerServices;
    std::vector<DaemonService> m_services;
    std::atomic<bool> m_stopping{false};
    std::atomic<DaemonExit> m_exit{DaemonExit::Stopped};
};

} // namespace guavafield
