// Connects gossip and RPC between peers to the configuration and the request path on Guavafield's own platform.
#pragma once

#include "apps/guavafieldd/daemon_service.hpp"
#include "apps/guavafieldd/own_platform_services.hpp"

#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/transport/http/request_path.hpp>
#include <guavafield/transport/peer/peer_service.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief Dependencies of PeerServices. Referenced objects must outlive it. */
struct PeerServicesDependencies
{
    boost::asio::any_io_executor executor;
    const DaemonSettings &settings;
    const Clock &clock;
    Counters &counters;
    Incarnation incarnation{0};
    OwnPlatformServices &platform;
    std::shared_ptr<RequestPath> path;
};

/*! @brief Exchanges revisions, key withdrawals, crash records and demand with peers by gossip, and fetches configurations from them by RPC. */
class PeerServices
{
public:
    /*! @brief Binds the peer port; throws boost::system::system_error if it cannot be used. */
    explicit PeerServices(PeerServicesDependencies dependencies);

    [[nodiscard]] DaemonService service();
    /*! @brief Returns the bound peer port. */
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return m_peers->port();
    }

private:
    [[nodiscard]] PeerHooks peerHooks();
    [[nodiscard]] ConfigurationHooks configurationHooks();
    [[nodiscard]] std::vector<PeerConfigurationStatus> peerStatuses() const;
    // Returns a live peer. Peers known to have a newer revision than this are preferred, then peers in this data centre.
    [[nodiscard]] std::optional<Member> choosePeer(Revision revision) const;
    [[nodiscard]] boost::asio::awaitable<Outcome<std::vector<std::string>>> fetchChanges(Revision after);
    [[nodiscard]] boost::asio::awaitable<Outcome<std::string>> fetchSnapshot();
    [[nodiscard]] boost::asio::awaitable<Outcome<std::string>> callPeer(Revision after, PeerMethod method);

    PeerServicesDependencies m_dependencies;
    std::unique_ptr<PeerService> m_peers;
};

} // namespace guavafield
