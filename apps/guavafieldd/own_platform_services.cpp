// Creates and connects the services on Guavafield's own platform.
#include "apps/guavafieldd/own_platform_services.hpp"

#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Interval at which the request path is told how old the configuration is.
constexpr Milliseconds configurationAgeInterval{500};
// Longest wait at shutdown for the final flush of usage and for pending at-most-once records to be settled.
constexpr Milliseconds durableStopTimeout{10'000};

} // namespace internal

OwnPlatformServices::OwnPlatformServices(OwnPlatformServicesDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_platformClient(m_dependencies.executor,
                       m_dependencies.settings.platform.address,
                       m_dependencies.settings.platform.port,
                       m_dependencies.counters,
                       PlatformClientSettings{})
{
    const auto &settings = m_dependencies.settings;
    const KeyHasher hasher(settings.host.fleetSecret);
    FollowerSettings follower;
    follower.host = settings.host.id;
    m_configuration = std::make_shared<ConfigurationService>(ConfigurationDependencies{m_dependencies.executor,
                                                                                       m_platformClient,
                                                                                       m_dependencies.configuration,
                                                                                       m_dependencies.counters,
                                                                                       m_dependencies.clock,
                                                                                       follower,
                                                                                       makeConfigurationHooks()});
    m_configurationOperator = std::make_shared<ConfigurationOperator>(
        m_configuration, settings.host.id, hasher, [this] { return m_peerStatuses ? m_peerStatuses() : std::vector<PeerConfigurationStatus>(); });
    OnceSettings once;
    once.host = settings.host.id;
    once.incarnation = m_dependencies.incarnation;
    m_once = std::make_shared<OnceService>(m_dependencies.executor, m_platformClient, m_dependencies.clock, m_dependencies.counters, hasher, once);
    m_usage = std::make_shared<UsageService>(
        m_dependencies.executor, m_platformClient, m_dependencies.clock, m_dependencies.counters, LeaseHolder{settings.host.id, m_dependencies.incarnation});
}

ConfigurationHooks OwnPlatformServices::makeConfigurationHooks()
{
    ConfigurationHooks result;
    result.fetchPeerChanges = [this](Revision after) -> asio::awaitable<Outcome<std::vector<std::string>>> {
        if (!m_peerHooks.fetchPeerChanges) {
            co_return Outcome<std::vector<std::string>>{std::nullopt, Error{ResultCode::PeerUnreachable, "no peers", {}}};
        }
        co_return co_await m_peerHooks.fetchPeerChanges(after);
    };
    result.fetchPeerSnapshot = [this]() -> asio::awaitable<Outcome<std::string>> {
        if (!m_peerHooks.fetchPeerSnapshot) {
            co_return Outcome<std::string>{std::nullopt, Error{ResultCode::PeerUnreachable, "no peers", {}}};
        }
        co_return co_await m_peerHooks.fetchPeerSnapshot();
    };
    result.stopKeys = [this](const std::vector<KeyId> &keys) {
        for (const auto &it : keys) {
            m_requestPath->closeKey(it);
        }
        if (m_peerHooks.stopKeys) {
            m_peerHooks.stopKeys(keys);
        }
    };
    result.published = [this] {
        updateConfigurationAge();
        m_requestPath->configurationChanged();
    };
    result.log = [](std::string_view text) { logEvent(LogLevel::Info, "config:", {}, text); };
    return result;
}

PathHooks OwnPlatformServices::pathHooks()
{
    PathHooks hooks;
    hooks.usage = m_usage->sink();
    hooks.once = m_once->gate();
    return hooks;
}

void OwnPlatformServices::setRequestPath(std::shared_ptr<RequestPath> path)
{
    m_requestPath = std::move(path);
}

void OwnPlatformServices::setPeers(ConfigurationHooks hooks, ConfigurationOperator::PeerStatuses statuses)
{
    m_peerHooks = std::move(hooks);
    m_peerStatuses = std::move(statuses);
}

void OwnPlatformServices::setCandidates(std::vector<HostId> candidates)
{
    m_usage->setCandidates(std::move(candidates));
}

void OwnPlatformServices::addOperatorHandlers(OperatorRouter &router)
{
    using boost::beast::http::verb;
    for (const auto *prefix : {"/admin/configuration", "/admin/keys", "/admin/status"}) {
        for (const auto method : {verb::get, verb::post}) {
            router.add(method, prefix, [this](OperatorRequest request) -> asio::awaitable<OperatorAnswer> {
                auto reply = co_await m_configurationOperator->handle(std::string(to_string(request.method)), std::move(request.path), std::move(request.body));
                co_return OperatorAnswer{reply.status, "application/json", std::move(reply.body)};
            });
        }
    }
}

std::vector<DaemonService> OwnPlatformServices::services()
{
    DaemonService configuration;
    configuration.name = "configuration";
    configuration.start = [this] {
        m_configuration->start();
        asio::co_spawn(
            m_dependencies.executor, [this] { return updateConfigurationAgePeriodically(); }, asio::detached);
    };
    configuration.unreadyReason = [this]() -> std::optional<std::string> {
        return m_configuration->status().ready ? std::nullopt : std::optional<std::string>("the newest revision is not known yet");
    };
    configuration.stop = [this]() -> asio::awaitable<void> {
        m_configuration->stop();
        co_return;
    };
    DaemonService once;
    once.name = "at-most-once calls";
    once.stop = [this] { return m_once->stop(internal::durableStopTimeout); };
    DaemonService usage;
    usage.name = "usage";
    usage.start = [this] { m_usage->start(); };
    usage.stop = [this] { return m_usage->stop(internal::durableStopTimeout); };
    return {std::move(configuration), std::move(usage), std::move(once)};
}

void OwnPlatformServices::updateConfigurationAge()
{
    if (const auto age = m_configuration->status().confirmationAge) {
        m_requestPath->configurationConfirmed(m_dependencies.clock.now() - *age);
    }
}

asio::awaitable<void> OwnPlatformServices::updateConfigurationAgePeriodically()
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    for (;;) {
        updateConfigurationAge();
        timer.expires_after(internal::configurationAgeInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace guavafield
