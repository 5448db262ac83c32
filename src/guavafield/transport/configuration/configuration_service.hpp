// Drives the configuration's follower and commits, and publishes the configuration in force.
#pragma once

#include <guavafield/coordination/configuration/configuration_follower.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/result.hpp>
#include <guavafield/state/snapshot_cell.hpp>
#include <guavafield/transport/configuration/commit_runner.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief What other parts of the daemon do for the configuration; empty ones are allowed. */
struct ConfigurationHooks
{
    // Asks a peer in the data centre for the texts of the changes after a revision, or for a snapshot's text.
    std::function<boost::asio::awaitable<Outcome<std::vector<std::string>>>(Revision)> fetchPeerChanges;
    std::function<boost::asio::awaitable<Outcome<std::string>>()> fetchPeerSnapshot;
    // Closes the open streams of keys that have stopped working.
    std::function<void(const std::vector<KeyId> &)> stopKeys;
    // A configuration was stored into the cell; called on the service's strand.
    std::function<void()> published;
    // Takes a short sentence for the log.
    std::function<void(std::string_view)> log;
};

/*! @brief What a configuration service is made of; the references outlive it. */
struct ConfigurationDependencies
{
    boost::asio::any_io_executor executor;
    PlatformClient &platform;
    SnapshotCell<Configuration> &cell;
    Counters &counters;
    const Clock &clock;
    FollowerSettings settings;
    ConfigurationHooks hooks;
};

/*!
 * @brief Keeps the configuration of the host current.
 *
 * Made by std::make_shared. All methods may be called from any thread; events take effect in the order in which they are posted.
 */
class ConfigurationService : public std::enable_shared_from_this<ConfigurationService>
{
public:
    template <typename Type>
    using Awaitable = boost::asio::awaitable<Type>;

    explicit ConfigurationService(ConfigurationDependencies dependencies);

    void start();
    /*! @brief Ends polling; calls in flight end on their own. */
    void stop();

    /*! @brief A peer's gossip named a revision; see ConfigurationFollower::onPeerRevision(). */
    void onPeerRevision(Revision revision, Milliseconds age);
    /*! @brief A peer's gossip named a withdrawn key. */
    void onWithdrawal(KeyId key);

    [[nodiscard]] FollowerStatus status() const;
    /*! @brief Returns what to tell peers by gossip; empty before anything is known. */
    [[nodiscard]] std::optional<KnownRevision> knowledge() const;
    /*! @brief Returns the keys withdrawn lately, newest first, for gossip. */
    [[nodiscard]] std::vector<KeyId> recentWithdrawals() const;
    /*! @brief Returns the texts of the changes after a revision for a peer; empty if they are not all kept. */
    [[nodiscard]] std::optional<std::vector<std::string>> changesAfter(Revision revision) const;
    /*! @brief Returns the committed configuration; formatSnapshot() makes a peer's answer of it. */
    [[nodiscard]] std::shared_ptr<const Configuration> snapshot() const;

    /*!
     * @brief Commits a change that is valid for a revision.
     * @param expected The change's base; a host that has another revision in force catches up first.
     * @return The new revision, or ConfigurationConflict with the current revision as the place, ConfigurationInvalid,
     * PlatformUnavailable or PlatformOutcomeUnknown.
     */
    [[nodiscard]] Awaitable<Outcome<Revision>> commit(ConfigurationChange change, Revision expected);

    /*!
     * @brief Stops a key at once, here and by gossip, and commits the withdrawal.
     * @return The revision that records it; on PlatformUnavailable the key has stopped and the commit is repeated until it succeeds.
     */
    [[nodiscard]] Awaitable<Outcome<Revision>> withdraw(KeyId key);

    /*! @brief Waits until this host has at least a revision in force; false after 3 s. */
    [[nodiscard]] Awaitable<bool> waitForRevision(Revision revision);

private:
    using Event = std::function<void(ConfigurationFollower &, SteadyTime)>;

    void post(Event event);
    // The following run on the strand only.
    void apply(const Event &event);
    void drive();
    void arm(SteadyTime next);
    void publish(const PublishAction &action);
    void perform(const FollowerAction &action);
    [[nodiscard]] Awaitable<void> readHead(ReadHeadAction action);
    [[nodiscard]] Awaitable<void> fetchChanges(FetchChangesAction action);
    [[nodiscard]] Awaitable<void> fetchSnapshot(FetchSnapshotAction action);
    [[nodiscard]] Awaitable<void> fetchPeerChanges(FetchPeerChangesAction action);
    [[nodiscard]] Awaitable<void> fetchPeerSnapshot(FetchPeerSnapshotAction action);
    [[nodiscard]] Awaitable<Outcome<Revision>> commitOnStrand(ConfigurationChange change, Revision expected);
    [[nodiscard]] Awaitable<Outcome<Revision>> recordWithdrawal(KeyId key);
    [[nodiscard]] Awaitable<void> repeatWithdrawals();
    [[nodiscard]] Awaitable<void> storeSnapshot(std::shared_ptr<const Configuration> configuration);
    [[nodiscard]] Outcome<Revision> takeCommit(const CommitResult &result, const std::string &id);
    void acceptCommit(const CommitResult &result, Revision revision);
    void noteObstacle();
    void log(std::string_view text) const;

    ConfigurationDependencies m_dependencies;
    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::steady_timer m_timer;
    bool m_stopped{false};

    mutable std::mutex m_mutex;
    // Guarded by m_mutex; changed on the strand only.
    ConfigurationFollower m_follower;

    // Used on the strand only, like the rest.
    std::set<KeyId> m_unrecorded;
    bool m_recording{false};
    std::string m_loggedObstacle;
};

} // namespace guavafield
