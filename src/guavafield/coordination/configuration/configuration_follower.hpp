// Keeps the configuration of a host current: a state machine without I/O that polls, fetches, applies and publishes.
#pragma once

#include <guavafield/coordination/configuration/configuration_rows.hpp>
#include <guavafield/coordination/configuration/known_revision.hpp>
#include <guavafield/state/configuration.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Number of one request of the follower; its reply has to name it. */
using FetchId = std::uint64_t;

/*! @brief Read the row config/head; answer with onHead() or onHeadFailed(). */
struct ReadHeadAction
{
    FetchId id{0};
};
/*! @brief Ask a peer in the data centre for changes; answer with onPeerChanges() or onFetchFailed(). */
struct FetchPeerChangesAction
{
    FetchId id{0};
    Revision after{0};
};
/*! @brief Ask a peer in the data centre for its configuration; answer with onPeerSnapshot() or onFetchFailed(). */
struct FetchPeerSnapshotAction
{
    FetchId id{0};
};
/*! @brief Read the rows config/change/<after + 1> to <upTo>; answer with onChanges() or onFetchFailed(). */
struct FetchChangesAction
{
    FetchId id{0};
    Revision after{0};
    Revision upTo{0};
};
/*! @brief Get the object config-<revision>; answer with onSnapshot() or onFetchFailed(). */
struct FetchSnapshotAction
{
    FetchId id{0};
    Revision revision{0};
};
/*! @brief Put this configuration in force; a later one never has a lower revision. */
struct PublishAction
{
    std::shared_ptr<const Configuration> configuration;
};
/*! @brief These keys have stopped working; close their open streams. */
struct StopKeysAction
{
    std::vector<KeyId> keys;
};

using FollowerAction =
    std::variant<ReadHeadAction, FetchPeerChangesAction, FetchPeerSnapshotAction, FetchChangesAction, FetchSnapshotAction, PublishAction, StopKeysAction>;

/*! @brief A follower's state for operators. */
struct FollowerStatus
{
    Revision revision{0};
    Revision newestKnown{0};
    // Time since the revision was known to be the newest; empty if it never was.
    std::optional<Milliseconds> confirmationAge;
    bool ready{false};
    bool behind{false};
    // No confirmation for 60 s.
    bool unconfirmed{true};
    // Why the next change cannot be applied here.
    std::optional<ConfigurationFault> applyFault;
};

/*! @brief Times and limits of a follower. */
struct FollowerSettings
{
    HostId host;
    Milliseconds pollInterval{4'000};
    // A peer or the platform that takes longer counts as failed.
    Milliseconds fetchTimeout{2'000};
    // Wait after all sources have failed.
    Milliseconds retryInterval{2'000};
    // Wait before a change that could not be applied is fetched again.
    Milliseconds applyRetryInterval{30'000};
    // Without the platform, a fresh host listens to its peers for this long before it trusts the highest revision it heard of.
    Milliseconds peerSettleTime{3'000};
    // Without confirmation for this long, teams with strict withdrawal are refused.
    Milliseconds confirmationLimit{60'000};
    // How long a key withdrawal is repeated to peers.
    Milliseconds withdrawalGossipTime{60'000};
};

/*!
 * @brief Follows the platform's configuration.
 *
 * The revision in force never falls, whatever replies arrive in whatever order. Not safe for several threads; time never goes back between
 * calls.
 */
class ConfigurationFollower
{
public:
    ConfigurationFollower(FollowerSettings settings, SteadyTime now);

    /*! @brief Returns what to do now; call after each event and at nextWakeup(). */
    [[nodiscard]] std::vector<FollowerAction> step(SteadyTime now);
    /*! @brief Returns when step() has to be called at the latest. */
    [[nodiscard]] SteadyTime nextWakeup() const noexcept;

    void onHead(FetchId id, const ConfigurationHead &head);
    void onHeadFailed(FetchId id);
    void onChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now);
    void onSnapshot(FetchId id, Configuration snapshot, SteadyTime now);
    void onPeerChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now);
    void onPeerSnapshot(FetchId id, Configuration snapshot, SteadyTime now);
    void onFetchFailed(FetchId id, SteadyTime now);

    /*!
     * @brief A peer told of a revision by gossip.
     * @param age Time since the platform's newest revision was at most this one.
     */
    void onPeerRevision(Revision revision, Milliseconds age, SteadyTime now);
    /*! @brief This host has committed a change. */
    void onCommitted(ChangeRecord record, SteadyTime now);
    /*! @brief A key was withdrawn, by an operator here or by gossip; it stops before the change arrives. */
    void onWithdrawal(const KeyId &key, SteadyTime now);

    /*! @brief Returns the committed configuration, for peers and as the base of changes; early withdrawals are not in it. */
    [[nodiscard]] const std::shared_ptr<const Configuration> &snapshot() const noexcept
    {
        return m_committed;
    }
    /*! @brief Returns the texts of the changes after a revision; empty optional if they are not all kept. */
    [[nodiscard]] std::optional<std::vector<std::string>> changesAfter(Revision revision) const;
    /*! @brief Returns what to tell peers; empty before anything is known. */
    [[nodiscard]] std::optional<KnownRevision> knownRevision(SteadyTime now) const;
    /*! @brief Returns the keys withdrawn lately, newest first, for gossip. */
    [[nodiscard]] std::vector<KeyId> recentWithdrawals(SteadyTime now) const;
    /*! @brief Returns withdrawn keys whose change has not arrived. */
    [[nodiscard]] std::vector<KeyId> uncommittedWithdrawals() const;
    [[nodiscard]] FollowerStatus status(SteadyTime now) const;

private:
    enum class Source : std::uint8_t {
        PeerChanges,
        TableChanges,
        PeerSnapshot,
        NewestSnapshot,
        PreviousSnapshot,
    };
    struct HeadRead
    {
        FetchId id{0};
        SteadyTime sentAt;
    };
    struct Fetch
    {
        FetchId id{0};
        SteadyTime deadline;
    };
    struct LoggedChange
    {
        Revision revision{0};
        std::string text;
    };
    struct Withdrawal
    {
        KeyId key;
        SteadyTime since;
    };

    void observe(Revision revision, std::optional<SteadyTime> at);
    void confirm();
    void updateReadiness(SteadyTime now);
    void poll(SteadyTime now, std::vector<FollowerAction> &actions);
    void fetch(SteadyTime now, std::vector<FollowerAction> &actions);
    [[nodiscard]] std::vector<Source> plan() const;
    [[nodiscard]] FollowerAction makeFetch(Source source, FetchId id) const;
    void takeChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now);
    void takeSnapshot(FetchId id, Configuration snapshot, SteadyTime now);
    void endFetch(FetchId id, bool progress, SteadyTime now);
    [[nodiscard]] ConfigurationFaults applyRecord(Configuration &configuration, ChangeRecord &record);
    void replaceCommitted(Configuration configuration, SteadyTime now);
    void refreshEffective(SteadyTime now);
    void forgetSettledWithdrawals(SteadyTime now);
    void noteWithdrawal(const KeyId &key, SteadyTime now);

    FollowerSettings m_settings;
    FetchId m_lastId{0};

    // Never null. The revision rises only.
    std::shared_ptr<const Configuration> m_committed;
    // m_committed with the early withdrawals; the same object if there are none. Never null.
    std::shared_ptr<const Configuration> m_effective;
    // Contiguous, ends at the committed revision; at most snapshotInterval long.
    std::deque<LoggedChange> m_log;
    // Keys whose withdrawal is known ahead of its change.
    StringMap<SteadyTime> m_early;
    std::deque<Withdrawal> m_recent;

    // Highest revision heard of; at m_newestAt the platform had none above it.
    Revision m_newest{0};
    std::optional<SteadyTime> m_newestAt;
    // Latest time at which the committed revision was known to be the newest.
    std::optional<SteadyTime> m_confirmedAt;
    SchemaVersion m_minimumSchema{schemaVersion};
    // The platform itself has answered since the start.
    bool m_headSeen{false};
    std::optional<SteadyTime> m_firstHeard;
    // Stays set: a host that has been ready once goes on serving without the platform.
    bool m_readyOnce{false};

    SteadyTime m_lastStep;
    SteadyTime m_nextPoll;
    std::optional<HeadRead> m_headRead;
    std::optional<Fetch> m_fetch;
    std::size_t m_planStep{0};
    SteadyTime m_fetchFrom;
    std::optional<ConfigurationFault> m_obstacle;

    bool m_publish{true};
    std::vector<KeyId> m_stopped;
};

} // namespace guavafield
