// Creates the daemon's components from its settings and runs them: threads, request path, operator server and background services.
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
#include <guavafield/transport/http/operators/operator_server.hpp>
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

/*! @brief How a run of the daemon ended; the values are the exit codes of the process. */
enum class DaemonExit : std::uint8_t {
    Stopped = 0,
    Failed = 1,
    // The settings or the command line are invalid.
    InvalidSettings = 2,
    // Running requests were cut off by the shutdown time limit or by a second signal.
    Interrupted = 3,
};

/*! @brief Owns all components of a host process. Constructed from settings, then run once. */
class Daemon
{
public:
    /*!
     * @brief Opens the listeners; throws boost::system::system_error if an address cannot be used.
     * @param settingsFile Reloaded on SIGHUP and when its content changes; if empty, settings are never reloaded.
     */
    explicit Daemon(DaemonSettings settings, std::string settingsFile = {});

    /*! @brief Puts a configuration in force and notifies the request path. */
    void applyConfiguration(std::shared_ptr<const Configuration> configuration);
    /*! @brief Adds a service; must be called before run(). */
    void addService(DaemonService service);

    /*! @brief Runs until a graceful shutdown has finished or a second signal stops the daemon immediately. */
    [[nodiscard]] DaemonExit run();

private:
    [[nodiscard]] std::unique_ptr<OwnPlatformServices> makeOwnPlatformServices();
    [[nodiscard]] std::unique_ptr<MachinesPlatformServices> makeMachinesPlatformServices();
    [[nodiscard]] PathHooks makePathHooks();
    // Connects the platform's services to the request path and adds all services in the order of their start.
    void addServices();
    void addOperatorHandlers();
    // Prints the bound ports to standard output, so that scripts can find ports that the operating system assigned.
    void printPorts() const;
    void waitForSignal();
    // Reads the settings file again and applies the settings that can change at run time; keeps the old settings if the file is invalid.
    void reloadSettings(std::string_view cause);
    // Polls the settings file and reloads it when its content has changed, so that no signal is needed.
    [[nodiscard]] boost::asio::awaitable<void> watchSettings();
    void requestStop();
    [[nodiscard]] boost::asio::awaitable<void> stop();
    // Runs one shutdown step of a service. Exceptions are logged, so that the other services still stop.
    [[nodiscard]] boost::asio::awaitable<void> runStopStep(const std::string &name, const std::function<boost::asio::awaitable<void>()> &step);
    [[nodiscard]] std::vector<std::string> unreadyReasons() const;

    DaemonSettings m_settings;
    std::string m_settingsFile;
    std::string m_settingsText;
    SystemClock m_clock;
    Counters m_counters;
    SnapshotCell<Configuration> m_configuration;
    // Start time in milliseconds of the host's wall clock, so that a later start has a higher incarnation.
    Incarnation m_incarnation{0};
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    // Null unless the settings select Guavafield's own platform.
    std::unique_ptr<OwnPlatformServices> m_ownPlatformServices;
    // Null unless the settings select the machines platform.
    std::unique_ptr<MachinesPlatformServices> m_machinesPlatformServices;
    std::shared_ptr<RequestPath> m_requestPath;
    std::shared_ptr<OperatorServer> m_operatorServer;
    // Null unless the settings select Guavafield's own platform.
    std::unique_ptr<PeerServices> m_peerServices;
    std::vector<DaemonService> m_services;
    std::atomic<bool> m_stopping{false};
    std::atomic<DaemonExit> m_exit{DaemonExit::Stopped};
};

} // namespace guavafield
