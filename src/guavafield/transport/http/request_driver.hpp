// Owner of the request scheduler: serializes its calls, runs its steps and hands its actions to the waiting requests.
#pragma once

#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/transport/http/mailbox.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief The scheduler behind one mutex. Safe to use from several threads. */
class RequestDriver : public std::enable_shared_from_this<RequestDriver>
{
public:
    /*!
     * @param executor Runs the wake-ups.
     * @param clock Outlives the driver.
     * @param counters Outlives the driver.
     */
    RequestDriver(const boost::asio::any_io_executor &executor, const Clock &clock, Counters &counters, SchedulerSettings settings);

    /*! @brief Admits a request; its actions go to the mailbox until the request is over. */
    [[nodiscard]] Admission submit(RequestInfo request, std::shared_ptr<Mailbox> mailbox);
    /*! @brief Tells the scheduler of an attempt's first output; returns whether the caller may get it. */
    [[nodiscard]] bool onFirstToken(std::string_view request, std::string_view upstream);
    void onTokens(std::string_view request, std::uint32_t count);
    /*! @brief Tells the scheduler that the process at which an attempt runs is the one that the upstream's entry named at the dispatch. */
    void onProcessIdentified(std::string_view request, std::string_view upstream);
    /*! @brief Tells the scheduler that another process than this one listens at the upstream's address. */
    void onProcessReplaced(std::string_view upstream, Incarnation listed);
    /*! @brief Tells the scheduler that this process listens at the upstream's address. */
    void onProcessListed(std::string_view upstream, Incarnation listed);
    /*! @brief Tells the scheduler that an attempt ended. The request is over unless the verdict is RetryQueued or another attempt runs. */
    [[nodiscard]] AttemptResolution onAttemptEnded(std::string_view request, std::string_view upstream, const AttemptEnd &end);
    /*! @brief Returns whether the request could go on at another upstream now. */
    [[nodiscard]] bool mayMove(std::string_view request);
    /*! @brief Takes a request out of the scheduler, be it queued or dispatched, and delivers no further actions for it. */
    void abandon(std::string_view request);
    /*! @brief Ends a request whose last attempt has ended; a scheduler that still holds it, e.g. preempted at the last moment, drops it. */
    void forget(std::string_view request);

    [[nodiscard]] std::vector<ProbeTarget> dueProbes();
    void onProbe(std::string_view upstream, ProbeResult result);

    /*! @brief Returns another host for a relayed request that the tried ones did not serve; see RelayTargets::choose(). */
    [[nodiscard]] std::optional<RelayTarget> nextRelayTarget(std::string_view pool, const HomeRegions &homes, std::span<const HostId> tried);
    void onRelayStarted(std::string_view host);
    /*! @brief Ends a relayed request. */
    void onRelayEnded(std::string_view host);
    /*! @brief Notes that no connection to a host could be made. */
    void onRelayUnreachable(std::string_view host);

    void onLoadReport(std::string_view upstream, const LoadReport &report);
    void onCacheEvents(std::string_view upstream, std::span<const CacheEvent> events);
    /*! @brief Takes an upstream's announcement that it leaves; returns whether that is new. */
    [[nodiscard]] bool onDrainAnnounced(std::string_view upstream);
    /*! @brief Takes an upstream's statement that its caches are cold for a time. */
    void onCold(std::string_view upstream, Milliseconds duration);
    /*! @brief Takes an upstream's wish to get no requests from this host for a time. */
    void onPauseRequested(std::string_view upstream, Milliseconds pause);
    /*! @brief Takes what an answer says of the upstream's rate limit, see RequestScheduler::onRateLimit(). */
    [[nodiscard]] bool onRateLimit(std::string_view upstream, double perSecond, SteadyTime statedAt);
    /*! @brief Takes how many rejections a second an upstream bears, see RequestScheduler::onRejectionLimit(). */
    [[nodiscard]] bool onRejectionLimit(std::string_view upstream, double perSecond, SteadyTime statedAt);
    void applyConfiguration(const Configuration &configuration);

    /*!
     * @brief Calls a function with the scheduler and the time, then runs a step.
     * @param function Must not call the driver.
     */
    template <typename Function>
    auto withScheduler(Function &&function)
    {
        const StepAfter step{*this};
        const std::scoped_lock lock(m_mutex);
        return function(m_scheduler, m_clock->now());
    }

    /*! @brief Ends the wake-ups; pending ones do nothing. */
    void stop();

private:
    // Runs the step after the lock has been released and the result has been made.
    struct StepAfter
    {
        RequestDriver &driver;
        ~StepAfter()
        {
            driver.runStep();
        }
    };

    // A request in the scheduler.
    struct Entry
    {
        std::shared_ptr<Mailbox> mailbox;
        // Where it was sent last; empty while it is queued.
        UpstreamId upstream;
    };

    void runStep();
    void deliver(const SchedulerAction &action);
    void count(const SchedulerAction &action);
    void armTimer(SteadyTime wakeup);

    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_timer;
    const Clock *m_clock;
    Counters *m_counters;
    std::mutex m_mutex;
    // All guarded by m_mutex.
    RequestScheduler m_scheduler;
    StringMap<Entry> m_entries;
    std::optional<SteadyTime> m_armed;
    bool m_stopped{false};
};

} // namespace guavafield
