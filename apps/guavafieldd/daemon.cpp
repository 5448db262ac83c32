// Startup, signal handling, settings reload and graceful shutdown.
#include "apps/guavafieldd/daemon.hpp"

#include <guavafield/protocol/settings/parse_settings.hpp>
#include <guavafield/transport/log/event_loop.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

constexpr Milliseconds settingsCheckInterval{5'000};

std::string readText(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

} // namespace internal

Daemon::Daemon(DaemonSettings settings, std::string settingsFile)
    : m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_settingsText(internal::readText(m_settingsFile))
    , m_incarnation(static_cast<Incarnation>(std::chrono::duration_cast<Milliseconds>(m_clock.wallNow().time_since_epoch()).count()))
    , m_io(static_cast<int>(m_settings.host.threads))
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_ownPlatformServices(makeOwnPlatformServices())
    , m_machinesPlatformServices(makeMachinesPlatformServices())
    , m_requestPath(
          std::make_shared<RequestPath>(RequestPathDependencies{m_io.get_executor(), m_settings, m_clock, m_counters, m_configuration, makePathHooks()}))
    , m_operatorServer(std::make_shared<OperatorServer>(OperatorServerDependencies{
          m_io.get_executor(), m_settings, m_counters, [this] { return unreadyReasons(); }, [this] { return m_requestPath->formatGauges(); }}))
{
    addServices();
    addOperatorHandlers();
}

std::unique_ptr<OwnPlatformServices> Daemon::makeOwnPlatformServices()
{
    if (m_settings.platform.address.empty() || m_settings.platform.kind != PlatformKind::Own) {
        return nullptr;
    }
    return std::make_unique<OwnPlatformServices>(
        OwnPlatformServicesDependencies{m_io.get_executor(), m_settings, m_clock, m_counters, m_configuration, m_incarnation});
}

std::unique_ptr<MachinesPlatformServices> Daemon::makeMachinesPlatformServices()
{
    if (m_settings.platform.address.empty() || m_settings.platform.kind != PlatformKind::Machines) {
        return nullptr;
    }
    return std::make_unique<MachinesPlatformServices>(
        MachinesPlatformServicesDependencies{m_io.get_executor(), m_settings, m_clock, m_counters, m_configuration, m_incarnation, [this](auto configuration) {
                                                 applyConfiguration(std::move(configuration));
                                             }});
}

PathHooks Daemon::makePathHooks()
{
    if (m_machinesPlatformServices) {
        return m_machinesPlatformServices->pathHooks();
    }
    return m_ownPlatformServices ? m_ownPlatformServices->pathHooks() : PathHooks{};
}

void Daemon::addServices()
{
    if (m_machinesPlatformServices) {
        m_machinesPlatformServices->setRequestPath(m_requestPath);
        addService(m_machinesPlatformServices->service());
    }
    if (!m_ownPlatformServices) {
        return;
    }
    m_ownPlatformServices->setRequestPath(m_requestPath);
    m_peerServices = std::make_unique<PeerServices>(
        PeerServicesDependencies{m_io.get_executor(), m_settings, m_clock, m_counters, m_incarnation, *m_ownPlatformServices, m_requestPath});
    addService(m_peerServices->service());
    for (auto &it : m_ownPlatformServices->services()) {
        addService(std::move(it));
    }
}

void Daemon::printPorts() const
{
    std::cout << "caller_port=" << m_requestPath->endpoint().port() << " operator_port=" << m_operatorServer->endpoint().port() << " peer_port="
              << (m_peerServices                   ? m_peerServices->port()
                      : m_machinesPlatformServices ? m_machinesPlatformServices->port()
                                                   : 0)
              << std::endl;
}

void Daemon::addOperatorHandlers()
{
    if (m_ownPlatformServices) {
        m_ownPlatformServices->addOperatorHandlers(m_operatorServer->router());
    }
    m_operatorServer->router().add(boost::beast::http::verb::post, "/admin/drain", [this](OperatorRequest) -> asio::awaitable<OperatorAnswer> {
        requestStop();
        co_return OperatorAnswer{202, "application/json", "{\"draining\":true}"};
    });
}

void Daemon::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    const auto previousRevision = m_configuration.load()->revision;
    if (previousRevision != configuration->revision) {
        const auto text = "configuration revision " + std::to_string(configuration->revision) + " is in force, before=" + std::to_string(previousRevision);
        logEvent(LogLevel::Info, "main:", {}, text);
        m_counters.add(CounterId::ConfigurationApplied);
    }
    m_configuration.store(std::move(configuration));
    m_requestPath->configurationChanged();
}

void Daemon::addService(DaemonService service)
{
    m_services.push_back(std::move(service));
}

DaemonExit Daemon::run()
{
    logEvent(LogLevel::Info, "main:", {}, "host " + m_settings.host.id + " in data centre " + m_settings.host.dataCentre + " starts");
    waitForSignal();
    for (const auto &it : m_services) {
        if (it.start) {
            it.start();
        }
    }
    m_requestPath->start();
    m_operatorServer->start();
    if (!m_settingsFile.empty()) {
        spawnLoop(m_io.get_executor(), [this] { return watchSettings(); });
    }
    printPorts();
    std::vector<std::thread> threads;
    for (std::uint32_t n = 1; n < m_settings.host.threads; ++n) {
        threads.emplace_back([this] { runEventLoop(m_io, m_counters); });
    }
    runEventLoop(m_io, m_counters);
    for (auto &it : threads) {
        it.join();
    }
    logEvent(LogLevel::Info, "main:", {}, "stopped");
    return m_exit.load();
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &ec, int number) {
        if (ec) {
            return;
        }
        if (number == SIGHUP) {
            reloadSettings("SIGHUP");
            waitForSignal();
            return;
        }
        if (m_stopping.load()) {
            logEvent(LogLevel::Warning, "main:", {}, "second signal, stopping immediately");
            m_exit.store(DaemonExit::Interrupted);
            m_io.stop();
            return;
        }
        requestStop();
        waitForSignal();
    });
}

void Daemon::reloadSettings(std::string_view cause)
{
    if (m_settingsFile.empty()) {
        return;
    }
    m_settingsText = internal::readText(m_settingsFile);
    auto outcome = loadSettings(m_settingsFile);
    if (const auto *errors = std::get_if<std::vector<SettingsError>>(&outcome)) {
        for (const auto &it : *errors) {
            logEvent(LogLevel::Error, "main:", {}, "settings not reloaded, " + formatSettingsError(it));
        }
        return;
    }
    auto &reloaded = std::get<DaemonSettings>(outcome);
    const bool seedsChanged = reloaded.peers.seeds != m_settings.peers.seeds;
    if (seedsChanged && m_machinesPlatformServices) {
        m_machinesPlatformServices->setSeeds(reloaded.peers.seeds);
    }
    m_settings.peers.seeds = std::move(reloaded.peers.seeds);
    // Only the seeds change at run time. Addresses and identity are fixed while the process runs; other settings take effect at the next start.
    logEvent(LogLevel::Info, "main:", {}, "settings reloaded, cause=\"" + std::string(cause) + "\" seeds=" + (seedsChanged ? "changed" : "unchanged"));
}

asio::awaitable<void> Daemon::watchSettings()
{
    asio::steady_timer timer(m_io);
    while (!m_stopping.load()) {
        timer.expires_after(internal::settingsCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        if (internal::readText(m_settingsFile) != m_settingsText) {
            reloadSettings("the file has changed");
        }
    }
}

void Daemon::requestStop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    logEvent(LogLevel::Info, "main:", {}, "graceful shutdown begins");
    asio::co_spawn(
        m_io, [this] { return stop(); }, asio::detached);
}

asio::awaitable<void> Daemon::stop()
{
    m_requestPath->beginDrain();
    for (const auto &it : m_services) {
        co_await runStopStep(it.name, it.announceStop);
    }
    const bool drained = co_await m_requestPath->stop();
    if (!drained) {
        m_exit.store(DaemonExit::Interrupted);
    }
    for (auto it = m_services.rbegin(); it != m_services.rend(); ++it) {
        co_await runStopStep(it->name, it->stop);
    }
    m_operatorServer->stop();
    m_io.stop();
}

asio::awaitable<void> Daemon::runStopStep(const std::string &name, const std::function<asio::awaitable<void>()> &step)
{
    if (!step) {
        co_return;
    }
    std::string failure;
    try {
        co_await step();
    } catch (const std::exception &error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        logEvent(LogLevel::Error, "main:", {}, "service " + name + " failed while stopping: " + failure);
    }
}

std::vector<std::string> Daemon::unreadyReasons() const
{
    std::vector<std::string> reasons;
    if (m_stopping.load()) {
        reasons.emplace_back("the host is stopping");
    }
    if (m_configuration.load()->revision == 0) {
        reasons.emplace_back("no configuration yet");
    }
    for (const auto &it : m_services) {
        if (auto reason = it.unreadyReason ? it.unreadyReason() : std::nullopt) {
            reasons.push_back(it.name + ": " + *reason);
        }
    }
    return reasons;
}

} // namespace guavafield
