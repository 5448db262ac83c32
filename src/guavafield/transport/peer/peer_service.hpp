// The host's part in the fleet: membership over UDP and RPC between peers, as one service of the daemon.
#pragma once

#include <guavafield/coordination/membership/membership.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/transport/peer/peer_rpc.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief What the service is created with. */
struct PeerServiceSettings
{
    // Id, data centre, incarnation and seed; the address is set by the service.
    MembershipSettings membership;
    std::string listenAddress{"0.0.0.0"};
    // For UDP and TCP; 0 lets the operating system choose one that is free for both.
    std::uint16_t port{0};
    // Where peers reach this host, if that is another address; empty: the listen address, or for 0.0.0.0 the source of the datagrams.
    std::string advertisedAddress;
    std::vector<PeerAddress> seeds;
    std::string fleetSecret;
};

/*! @brief What the service asks for and reports to. All are called on the service's strand and may be empty. */
struct PeerHooks
{
    // Consumers.
    std::function<void(const Member &)> onMember;
    std::function<void(const HostId &from, const KnownRevision &)> onRevision;
    std::function<void(const KeyId &)> onWithdrawal;
    std::function<void(const CrashRecord &)> onCrash;
    std::function<void(const DemandReport &)> onDemand;
    std::function<void(const Member &from, const HostReport &)> onReport;
    // Providers, asked once a second.
    std::function<Revision()> revisionInForce;
    std::function<std::optional<KnownRevision>()> newestRevision;
    std::function<std::vector<CrashRecord>()> crashRecords;
    std::function<std::vector<TeamDemand>()> demand;
    // Answers to peers; called on the executor, not on the strand.
    PeerRpcHooks rpc;
};

/*! @brief Membership and RPC of a host. Safe to use from several threads. */
class PeerService
{
public:
    /*!
     * @brief Binds the sockets; throws boost::system::system_error if the address cannot be used.
     * @param executor Runs the service; it, the clock and the counters outlive the service and what it posts.
     */
    PeerService(const boost::asio::any_io_executor &executor, PeerServiceSettings settings, PeerHooks hooks, const Clock &clock, Counters &counters);
    /*! @brief Stops the service. */
    ~PeerService();
    PeerService(const PeerService &) = delete;
    PeerService &operator=(const PeerService &) = delete;

    /*! @brief Starts to send and receive. */
    void start();
    /*! @brief Closes the sockets and ends all calls; hooks may still run until the executor has run what was posted before. */
    void stop();

    /*! @brief Returns the port of UDP and TCP. */
    [[nodiscard]] std::uint16_t port() const noexcept;
    /*! @brief Returns the other members that are known, dead ones included, as of a moment ago. */
    [[nodiscard]] std::vector<Member> members() const;
    /*! @brief Returns the number of hosts of this data centre that are alive, with this one. */
    [[nodiscard]] std::uint32_t hostsInDataCentre() const;

    /*! @brief Sets addresses at which peers may be. */
    void setSeeds(std::vector<PeerAddress> seeds);
    void announceWithdrawal(KeyId key);
    void announceCrash(CrashRecord record);
    /*!
     * @brief Sends a report to all members that are not dead and to some addresses besides; changes reach a large fleet through relays.
     * @param first Addresses in the order in which they are to become relays.
     */
    void sendReport(HostReport report, std::vector<PeerAddress> first);
    /*! @brief Sends a report to one address. */
    void sendReportTo(HostReport report, PeerAddress to);
    /*! @brief Announces that this host stops. */
    void leave();
    void onPlatformHosts(std::vector<PlatformHost> hosts);

    /*! @brief Calls a peer; done is called once, on the executor. */
    void call(const PeerAddress &peer, PeerMethod method, Revision after, PeerRpc::Done done);

    /*! @brief Calls a peer from a coroutine. */
    template <typename Token>
    auto asyncCall(const PeerAddress &peer, PeerMethod method, Revision after, Token &&token)
    {
        return boost::asio::async_initiate<Token, void(Outcome<std::string>)>(
            [this, peer, method, after](auto handler) {
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                call(peer, method, after, [shared](Outcome<std::string> outcome) { std::move (*shared)(std::move(outcome)); });
            },
            token);
    }

private:
    class Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace guavafield
