// State machine without I/O that keeps a host's configuration up to date: polls, fetches, applies and publishes.
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

/*! @brief Id of a request of the follower; the reply has to carry it. */
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
/*! @brief Put this configuration in force; the revision never decreases between publications. */
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

/*! @brief State of a follower as shown to operators. */
struct FollowerStatus
{
    Revision revision{0};
    Revision newestKnown{0};
    // Time since the revision was last known to be the newest; empty if it never was.
    std::optional<Milliseconds> confirmationAge;
    bool ready{false};
    bool behind{false};
    // No confirmation within the limit, 60 s by default.
    bool unconfirmed{true};
    // Fault that prevents this host from applying the next change.
    std::optional<ConfigurationFault> applyFault;
};

/*! @brief Times and limits of a follower. */
struct FollowerSettings
{
    HostId host;
    Milliseconds pollInterval{4'000};
    // A fetch from a peer or the platform fails after this time.
    Milliseconds fetchTimeout{2'000};
    // Delay after all sources have failed.
    Milliseconds retryInterval{2'000};
    // Delay before a change that could not be applied is fetched again.
    Milliseconds applyRetryInterval{30'000};
    // While the platform is unavailable, a new host collects revisions from its peers for this long before it trusts the highest one.
    Milliseconds peerSettleTime{3'000};
    // After this time without confirmation, requests of teams with strict withdrawal are refused.
    Milliseconds confirmationLimit{60'000};
    // How long a key withdrawal is gossiped to peers.
    Milliseconds withdrawalGossipTime{60'000};
};

/*!
 * @brief Follows the platform's configuration.
 *
 * The revision in force never decreases, regardless of which replies arrive in which order. Not thread-safe. The time passed to calls must
 * not decrease.
 */
class ConfigurationFollower
{
public:
    ConfigurationFollower(FollowerSettings settings, SteadyTime now);

    /*! @brief Returns the actions that are due; call after each event and at nextWakeup(). */
    [[nodiscard]] std::vector<FollowerAction> step(SteadyTime now);
    /*! @brief Returns the latest time for the next call of step(). */
    [[nodiscard]] SteadyTime nextWakeup() const noexcept;

    void onHead(FetchId id, const ConfigurationHead &head);
    void onHeadFailed(FetchId id);
    void onChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now);
    void onSnapshot(FetchId id, Configuration snapshot, SteadyTime now);
    void onPeerChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now);
    void onPeerSnapshot(FetchId id, Configuration snapshot, SteadyTime now);
    void onFetchFailed(FetchId id, SteadyTime now);

    /*!
     * @brief Handles a revision that a peer gossiped.
     * @param age Time since the platform's newest revision was known not to exceed this one.
     */
    void onPeerRevision(Revision revision, Milliseconds age, SteadyTime now);
    /*! @brief Handles a change that this host has committed. */
    void onCommitted(ChangeRecord record, SteadyTime now);
    /*! @brief Handles a key withdrawal by a local operator or by gossip; the key stops working before the change arrives. */
    void onWithdrawal(const KeyId &key, SteadyTime now);

    /*! @brief Returns the committed configuration, without early withdrawals; peers fetch it and changes are based on it. */
    [[nodiscard]] const std::shared_ptr<const Configuration> &snapshot() const noexcept
    {
        return m_committed;
    }
    /*! @brief Returns the texts of the changes after a revision, or nothing if some of them are no longer kept. */
    [[nodiscard]] std::optional<std::vector<std::string>> changesAfter(Revision revision) const;
    /*! @brief Returns the newest known revision for gossip; empty before any is known. */
    [[nodiscard]] std::optional<KnownRevision> knownRevision(SteadyTime now) const;
    /*! @brief Returns recently withdrawn keys for gossip, newest first. */
    [[nodiscard]] std::vector<KeyId> recentWithdrawals(SteadyTime now) const;
    /*! @brief Returns withdrawn keys whose withdrawal is not in the committed configuration yet. */
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

    void updateNewestRevision(Revision revision, std::optional<SteadyTime> at);
    void updateConfirmation();
    void updateReadiness(SteadyTime now);
    void poll(SteadyTime now, std::vector<FollowerAction> &actions);
    void fetch(SteadyTime now, std::vector<FollowerAction> &actions);
    [[nodiscard]] std::vector<Source> fetchSources() const;
    [[nodiscard]] FollowerAction makeFetchAction(Source source, FetchId id) const;
    void applyChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now);
    void applySnapshot(FetchId id, Configuration snapshot, SteadyTime now);
    void endFetch(FetchId id, bool progress, SteadyTime now);
    [[nodiscard]] ConfigurationFaults applyRecord(Configuration &configuration, ChangeRecord &record);
    void replaceCommitted(Configuration configuration, SteadyTime now);
    void rebuildEffective(SteadyTime now);
    void pruneEarlyWithdrawals(SteadyTime now);
    void addRecentWithdrawal(const KeyId &key, SteadyTime now);

    FollowerSettings m_settings;
    FetchId m_lastFetchId{0};

    // Never null. The revision only increases.
    std::shared_ptr<const Configuration> m_committed;
    // m_committed with early withdrawals applied, or the same object if there are none. Never null.
    std::shared_ptr<const Configuration> m_effective;
    // Contiguous and ends at the committed revision; holds at most snapshotInterval changes.
    std::deque<LoggedChange> m_log;
    // Withdrawn keys whose change has not been applied, with the time at which the withdrawal became known.
    StringMap<SteadyTime> m_earlyWithdrawals;
    std::deque<Withdrawal> m_recentWithdrawals;

    // Highest known revision; at m_newestRevisionAt the platform had no later one.
    Revision m_newestRevision{0};
    std::optional<SteadyTime> m_newestRevisionAt;
    // Latest time at which the committed revision was known to be the newest.
    std::optional<SteadyTime> m_confirmedAt;
    SchemaVersion m_minimumSchema{schemaVersion};
    // The platform has answered a read of the head since the start.
    bool m_headReceived{false};
    std::optional<SteadyTime> m_firstPeerRevisionAt;
    // Never reset: a host that has been ready once keeps serving without the platform.
    bool m_hasBeenReady{false};

    SteadyTime m_lastStep;
    SteadyTime m_nextPoll;
    std::optional<HeadRead> m_headRead;
    std::optional<Fetch> m_fetch;
    std::size_t m_sourceIndex{0};
    SteadyTime m_nextFetch;
    std::optional<ConfigurationFault> m_applyFault;

    bool m_publishPending{true};
    std::vector<KeyId> m_stoppedKeys;
};

} // namespace guavafield
