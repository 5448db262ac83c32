// At-most-once calls for the request path.
#pragma once

#include <guavafield/coordination/once/once_call_tracker.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/key_hasher.hpp>
#include <guavafield/transport/http/path_hooks.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace guavafield {

/*! @brief Runs an OnceCallTracker on a strand of its own. Safe to call from any thread. Create it with std::make_shared. */
class OnceService : public std::enable_shared_from_this<OnceService>
{
public:
    /*!
     * @param executor Runs the service's strand.
     * @param client Outlives the service's coroutines, as do clock and counters.
     * @param hasher Makes the digests of idempotency keys.
     */
    OnceService(
        const boost::asio::any_io_executor &executor, PlatformClient &client, const Clock &clock, Counters &counters, KeyHasher hasher, OnceSettings settings);

    /*! @brief Returns the function that the request path calls; it keeps the service alive. */
    [[nodiscard]] OnceGate gate();
    /*! @brief Waits until the records of all calls are settled, or for the limit. */
    [[nodiscard]] boost::asio::awaitable<void> stop(Milliseconds limit);

private:
    struct Pending
    {
        Pending(OnceServiceCall initial, boost::asio::any_io_executor executor, const boost::asio::any_io_executor &strand);

        OnceServiceCall call;
        // Of the caller; the call runs there.
        boost::asio::any_io_executor callerExecutor;
        // Cancelled when the reply is there.
        boost::asio::steady_timer replied;
        std::optional<OnceReply> reply;
    };

    [[nodiscard]] boost::asio::awaitable<ServiceOutcome> call(OnceServiceCall call);
    [[nodiscard]] boost::asio::awaitable<ServiceOutcome> callOnStrand(std::shared_ptr<Pending> pending);
    [[nodiscard]] boost::asio::awaitable<void> transact(OnceTransactAction action);
    [[nodiscard]] boost::asio::awaitable<void> read(OnceReadAction action);
    [[nodiscard]] boost::asio::awaitable<void> run(OnceCallId id);
    void pump();
    void perform(OnceAction action);
    void answer(const OnceReplyAction &action);
    void armTimer();

    boost::asio::any_io_executor m_strand;
    PlatformClient &m_client;
    const Clock &m_clock;
    Counters &m_counters;
    KeyHasher m_hasher;
    OnceCallTracker m_ledger;
    boost::asio::steady_timer m_timer;
    std::map<OnceCallId, std::shared_ptr<Pending>> m_pending;
};

} // namespace guavafield
