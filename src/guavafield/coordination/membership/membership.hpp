// SWIM membership protocol with probes, indirect probes, suspicion and refutation. Does no I/O; messages and the time are passed in.
#pragma once

#include <guavafield/coordination/membership/member_table.hpp>
#include <guavafield/coordination/membership/peer_message.hpp>
#include <guavafield/coordination/membership/piggyback.hpp>
#include <guavafield/coordination/membership/token_bucket.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Settings of a Membership; the default times suit round trips of up to 250 ms. */
struct MembershipSettings
{
    HostId id;
    DataCentreId dataCentre;
    // Address at which peers reach this host.
    PeerAddress address;
    Incarnation incarnation{1};
    // Seed of the random generator.
    std::uint64_t seed{1};

    Milliseconds probeInterval{1000};
    // Without an Ack in this time, other hosts are asked for indirect probes.
    Milliseconds directTimeout{300};
    // Without an Ack in this time, the host is suspected.
    Milliseconds probeTimeout{900};
    // Time in which a suspect can refute before the host whose probe failed declares it dead.
    Milliseconds suspicionTimeout{2500};
    // The same on hosts that received the suspicion by gossip; longer, so that a refutation arrives first.
    Milliseconds indirectSuspicionTimeout{4000};
    // Hosts that are asked to probe a target that does not answer.
    std::uint32_t proxyCount{3};
    // Fraction of probes sent to other data centres.
    double remoteShare{0.2};
    // Dead hosts are kept for this long, to reject outdated statements and to reconnect after a partition.
    Milliseconds deadRetention{3'600'000};
    // Budget of sent bytes; the received bytes are the same on average.
    double bytesPerSecond{580};
};

/*! @brief An entry of the platform's list of hosts. */
struct PlatformHost
{
    HostId id;
    PeerAddress address;
    // The platform guarantees that this host does not return.
    bool terminated{false};
};

/*! @brief Requests that a message is sent. */
struct SendPeerMessage
{
    PeerAddress to;
    PeerMessage message;
};
/*! @brief A member was added, or its state, incarnation or address changed. */
struct MemberChanged
{
    Member member;
};
/*! @brief A peer reported a newer revision, or a more recent confirmation of the known one. */
struct RevisionReceived
{
    HostId from;
    KnownRevision knowledge;
};
/*! @brief A key was withdrawn; emitted once per key. */
struct WithdrawalReceived
{
    KeyId key;
};
/*! @brief A crash record from a peer; emitted once per record. */
struct CrashReceived
{
    CrashRecord record;
};
/*! @brief Demand figures of a host in the same data centre. */
struct DemandReceived
{
    DemandReport report;
};
/*! @brief A message was rejected and not applied. */
struct MessageRejected
{
    std::string reason;
};

using MembershipAction = std::variant<SendPeerMessage, MemberChanged, RevisionReceived, WithdrawalReceived, CrashReceived, DemandReceived, MessageRejected>;

/*!
 * @brief One host's view of the membership.
 *
 * Not thread-safe; the owner serializes calls. The passed time must not decrease between calls.
 */
class Membership
{
public:
    using Actions = std::vector<MembershipAction>;

    Membership(MembershipSettings settings, SteadyTime now);

    /*! @brief Runs the timers that are due; call at nextWakeup(). */
    [[nodiscard]] Actions step(SteadyTime now);
    /*! @brief Returns the latest time for the next call of step(). */
    [[nodiscard]] SteadyTime nextWakeup() const;
    /*!
     * @brief Handles a message that was authenticated and decoded.
     * @param from Source address of the datagram.
     */
    [[nodiscard]] Actions onMessage(const PeerMessage &message, const PeerAddress &from, SteadyTime now);

    /*! @brief Sets addresses to contact, which do not make a host a member by themselves. */
    void setSeeds(std::vector<PeerAddress> seeds);
    /*! @brief Applies the platform's list, which may be outdated: addresses are hints, and dead members that are terminated are removed. */
    void onPlatformHosts(std::span<const PlatformHost> hosts);

    /*! @brief Sets the configuration revision in force on this host. */
    void setRevision(Revision revision);
    /*! @brief Records that a revision was the newest one at the time given by its age. */
    void confirmRevision(const KnownRevision &knowledge, SteadyTime now);
    /*! @brief Returns the newest known revision and the time since it was confirmed. */
    [[nodiscard]] std::optional<KnownRevision> newestRevision(SteadyTime now) const;
    void setDemand(std::vector<TeamDemand> teams, SteadyTime now);
    [[nodiscard]] Actions announceWithdrawal(const KeyId &key, SteadyTime now);
    [[nodiscard]] Actions announceCrash(const CrashRecord &record, SteadyTime now);
    /*! @brief Announces that this host stops; irrevocable in this incarnation. */
    [[nodiscard]] Actions leave(SteadyTime now);

    [[nodiscard]] const Member &self() const noexcept
    {
        return m_self;
    }
    [[nodiscard]] const MemberTable &table() const noexcept
    {
        return m_table;
    }
    /*! @brief Returns the number of alive or suspected hosts in this data centre, including this one. */
    [[nodiscard]] std::uint32_t hostsInDataCentre() const;
    /*! @brief Returns whether a newer incarnation of this host's id was seen, in which case this process should not run. */
    [[nodiscard]] bool superseded() const noexcept
    {
        return m_superseded;
    }

private:
    /*! @brief A probe that awaits its Ack. */
    struct PendingProbe
    {
        // Empty if only the address is known.
        HostId target;
        Incarnation incarnation{0};
        SteadyTime sent;
        bool indirectProbesSent{false};
        std::vector<HostId> proxies;
    };

    /*! @brief A probe on behalf of another host. */
    struct RelayedProbe
    {
        PeerAddress origin;
        HostId originId;
        std::uint32_t originProbe{0};
        SteadyTime sent;
    };

    struct ConfirmedRevision
    {
        Revision revision{0};
        SteadyTime confirmed;
    };

    // Sending.
    [[nodiscard]] PeerMessage compose(PeerMessageKind kind, std::uint32_t probe) const;
    void send(PeerMessage message, const PeerAddress &to, const Member *recipient, SteadyTime now);
    void sendProbe(const Member &target, SteadyTime now);
    void probeAddress(const PeerAddress &to, SteadyTime now);
    void sendUrgentUpdates(SteadyTime now);
    [[nodiscard]] const Member *chooseTarget();
    [[nodiscard]] const Member *chooseSyncPeer();
    [[nodiscard]] std::vector<const Member *> chooseProxies(const HostId &target);

    // Timers.
    void resumeIfPaused(SteadyTime now);
    void checkProbes(SteadyTime now);
    void sendIndirectProbes(std::uint32_t number, PendingProbe &probe, SteadyTime now);
    void suspect(const PendingProbe &probe, SteadyTime now);
    void checkSuspicions(SteadyTime now);
    void probeRound(SteadyTime now);
    void probeUnreachable(SteadyTime now);
    void probeDead(SteadyTime now);
    void startSync(SteadyTime at);
    void requestSync(SteadyTime now);
    void housekeeping(SteadyTime now);

    // Messages.
    [[nodiscard]] bool admit(const PeerMessage &message, const PeerAddress &from, SteadyTime now);
    void reject(std::string_view reason);
    void answerMisaddressedProbe(const PeerMessage &message, const PeerAddress &from, SteadyTime now);
    void applyContents(const PeerMessage &message, SteadyTime now);
    void applyStatement(const Member &statement, bool queue, SteadyTime now);
    void refute(const Member &statement);
    void handleKind(const PeerMessage &message, const PeerAddress &from, SteadyTime now);
    void handleAck(const PeerMessage &message, SteadyTime now);
    void handleIndirectProbe(const PeerMessage &message, const PeerAddress &from, SteadyTime now);
    void handleSyncRequest(const PeerMessage &message, const PeerAddress &from, SteadyTime now);
    void handleSyncReply(const PeerMessage &message, SteadyTime now);
    [[nodiscard]] Actions takeActions(SteadyTime now);

    MembershipSettings m_settings;
    Member m_self;
    MemberTable m_table;
    Piggyback m_piggyback;
    std::mt19937_64 m_random;
    Actions m_actions;

    std::vector<PeerAddress> m_seeds;
    std::vector<PeerAddress> m_platformAddresses;
    std::map<std::uint32_t, PendingProbe> m_probes;
    std::map<std::uint32_t, RelayedProbe> m_relayed;
    std::uint32_t m_lastProbe{0};
    std::uint64_t m_lastCounter{0};
    SteadyTime m_nextRound;
    SteadyTime m_nextHousekeeping;
    // Next page request; set while the list of members is fetched from peers page by page.
    std::optional<SteadyTime> m_nextSync;
    // Starts at this host's id, so that hosts that start together do not all contact the same peers first.
    HostId m_syncCursor;
    bool m_syncWrapped{false};
    // Members found by the current pass.
    std::size_t m_syncNewMembers{0};
    // Members that joined or returned through other messages since the last housekeeping.
    std::size_t m_joinedMembers{0};
    // Dead members are probed at a higher rate until this time, since a partition may have healed.
    SteadyTime m_reconnectUntil;
    // Rate limit of Acks to probes that name another recipient or incarnation.
    TokenBucket m_misaddressedAcks;
    // Budget of sync pages; separate from that of piggybacked updates, which they would exhaust.
    TokenBucket m_syncBytes;
    bool m_urgentUpdatesDue{false};
    // Datagrams received before this time may have queued in the socket buffer while the process was paused.
    SteadyTime m_ignoreUntil;
    std::optional<ConfirmedRevision> m_newestRevision;
    bool m_superseded{false};
};

} // namespace guavafield
