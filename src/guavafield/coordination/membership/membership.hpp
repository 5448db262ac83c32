// Membership of hosts in the style of SWIM: probes, indirect probes, suspicion and refutation, over messages and a passed-in time.
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

/*! @brief What a membership is created with; the times hold for round trips of up to 250 ms. */
struct MembershipSettings
{
    HostId id;
    DataCentreId dataCentre;
    // Where peers reach this host.
    PeerAddress address;
    Incarnation incarnation{1};
    // Seed of all random choices.
    std::uint64_t seed{1};

    Milliseconds probeInterval{1000};
    // Without an Ack by then, other hosts are asked to probe.
    Milliseconds directTimeout{300};
    // Without an Ack by then, the host is suspected.
    Milliseconds probeTimeout{900};
    // Time for a suspect to contradict before the host that suspects it declares it dead.
    Milliseconds suspicion{2500};
    // The same for hosts that only heard of the suspicion; longer, so that a refutation overtakes it.
    Milliseconds heardSuspicion{4000};
    std::uint32_t helpers{3};
    // Part of the probes that go to other data centres.
    double remoteShare{0.2};
    // Dead hosts are remembered to refuse old news of them and to find them again after a partition.
    Milliseconds deadRetention{3'600'000};
    // Bytes sent; as many are received on average.
    double bytesPerSecond{580};
};

/*! @brief A host as the platform's list has it. */
struct PlatformHost
{
    HostId id;
    PeerAddress address;
    // The platform vouches that this host will not come back.
    bool gone{false};
};

/*! @brief Send this message. */
struct SendPeerMessage
{
    PeerAddress to;
    PeerMessage message;
};
/*! @brief A member appeared, or its state, life or address changed. */
struct MemberChanged
{
    Member member;
};
/*! @brief A peer knows a revision that is newer than, or a confirmation that is fresher than, what was known. */
struct RevisionHeard
{
    HostId from;
    KnownRevision knowledge;
};
/*! @brief A key was withdrawn; given once per key. */
struct WithdrawalHeard
{
    KeyId key;
};
/*! @brief A crash record of a peer; given once per record. */
struct CrashHeard
{
    CrashRecord record;
};
/*! @brief Figures of a host of the same data centre. */
struct DemandHeard
{
    DemandReport report;
};
/*! @brief A message was not accepted and changed nothing. */
struct MessageRejected
{
    std::string reason;
};

using MembershipAction = std::variant<SendPeerMessage, MemberChanged, RevisionHeard, WithdrawalHeard, CrashHeard, DemandHeard, MessageRejected>;

/*!
 * @brief One host's view of all hosts.
 *
 * Not safe for several threads; its owner serializes the calls. Time never goes back between calls.
 */
class Membership
{
public:
    using Actions = std::vector<MembershipAction>;

    Membership(MembershipSettings settings, SteadyTime now);

    /*! @brief Does what is due; call at nextWakeup(). */
    [[nodiscard]] Actions step(SteadyTime now);
    /*! @brief Returns when step() has to be called at the latest. */
    [[nodiscard]] SteadyTime nextWakeup() const;
    /*!
     * @brief Takes a message that is authentic and well formed.
     * @param from Where it came from.
     */
    [[nodiscard]] Actions onMessage(const PeerMessage &message, const PeerAddress &from, SteadyTime now);

    /*! @brief Sets addresses at which peers may be; they are contacted but change nothing by themselves. */
    void setSeeds(std::vector<PeerAddress> seeds);
    /*! @brief Takes the platform's list, which lags: addresses are hints, and dead members that are gone for good are forgotten. */
    void onPlatformHosts(std::span<const PlatformHost> hosts);

    /*! @brief Sets the revision in force on this host. */
    void setRevision(Revision revision);
    /*! @brief Records that a revision was the newest one at a time not long ago. */
    void confirmRevision(const KnownRevision &knowledge, SteadyTime now);
    /*! @brief Returns the newest known revision and the age of that knowledge. */
    [[nodiscard]] std::optional<KnownRevision> newestRevision(SteadyTime now) const;
    void setDemand(std::vector<TeamDemand> teams, SteadyTime now);
    [[nodiscard]] Actions announceWithdrawal(const KeyId &key, SteadyTime now);
    [[nodiscard]] Actions announceCrash(const CrashRecord &record, SteadyTime now);
    /*! @brief Announces that this host stops; cannot be taken back in this life. */
    [[nodiscard]] Actions leave(SteadyTime now);

    [[nodiscard]] const Member &self() const noexcept
    {
        return m_self;
    }
    [[nodiscard]] const MemberTable &table() const noexcept
    {
        return m_table;
    }
    /*! @brief Returns the number of hosts of this data centre that are alive or suspect, with this one. */
    [[nodiscard]] std::uint32_t hostsInDataCentre() const;
    /*! @brief Says whether a newer life of this host's id was seen, which means that this process should not run. */
    [[nodiscard]] bool superseded() const noexcept
    {
        return m_superseded;
    }

private:
    /*! @brief A probe without an Ack yet. */
    struct PendingProbe
    {
        // Empty if only an address was known.
        HostId target;
        Incarnation incarnation{0};
        SteadyTime sent;
        bool helpersAsked{false};
        std::vector<HostId> helpers;
    };

    /*! @brief A probe on behalf of another host. */
    struct RelayedProbe
    {
        PeerAddress origin;
        HostId originId;
        std::uint32_t originProbe{0};
        SteadyTime sent;
    };

    struct Revised
    {
        Revision revision{0};
        SteadyTime confirmed;
    };

    // Sending.
    [[nodiscard]] PeerMessage compose(PeerMessageKind kind, std::uint32_t probe) const;
    void send(PeerMessage message, const PeerAddress &to, const Member *recipient, SteadyTime now);
    void sendProbe(const Member &target, SteadyTime now);
    void sendHello(const PeerAddress &to, SteadyTime now);
    void sendNotices(SteadyTime now);
    [[nodiscard]] const Member *chooseTarget();
    [[nodiscard]] const Member *chooseSyncPeer();
    [[nodiscard]] std::vector<const Member *> chooseHelpers(const HostId &target);

    // Timed work.
    void resumeIfPaused(SteadyTime now);
    void checkProbes(SteadyTime now);
    void askHelpers(std::uint32_t number, PendingProbe &probe, SteadyTime now);
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
    void answerStranger(const PeerMessage &message, const PeerAddress &from, SteadyTime now);
    void takeNews(const PeerMessage &message, SteadyTime now);
    void takeStatement(const Member &news, bool queue, SteadyTime now);
    void refute(const Member &news);
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
    // Set while the members are fetched from peers, page by page.
    std::optional<SteadyTime> m_nextSync;
    // Starts at this host's id, so that hosts that start together do not all meet the same peers first.
    HostId m_syncCursor;
    bool m_syncWrapped{false};
    // Members that the current pass brought.
    std::size_t m_syncFound{0};
    // Members that came or came back by other ways since the last housekeeping.
    std::size_t m_arrivals{0};
    // A partition may just have healed: dead members are probed at a higher rate until then.
    SteadyTime m_reconnectUntil;
    // Answers to hosts that do not know this life.
    TokenBucket m_strangerAnswers;
    // Bytes of pages for hosts that join; apart from the budget of news, which they would use up.
    TokenBucket m_syncBytes;
    bool m_noticeDue{false};
    // Datagrams before this time may have waited in the socket's buffer while the process was paused.
    SteadyTime m_ignoreUntil;
    std::optional<Revised> m_newest;
    bool m_superseded{false};
};

} // namespace guavafield
