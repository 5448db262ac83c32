// HTTP exchanges with the platform over a few kept connections, in the order and at the rate that the limiter allows.
#pragma once

#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/transport/platform/call_limiter.hpp>
#include <guavafield/transport/platform/platform_client.hpp>
#include <guavafield/transport/platform/platform_exchange.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::internal {

/*! @brief Connections and turns of a client; all members but the platform's time are used on the strand only. */
class PlatformChannel : public std::enable_shared_from_this<PlatformChannel>
{
public:
    template <typename Type>
    using Awaitable = boost::asio::awaitable<Type>;

    PlatformChannel(const boost::asio::any_io_executor &executor, std::string address, std::uint16_t port, Counters &counters, PlatformClientSettings settings);
    ~PlatformChannel();
    PlatformChannel(const PlatformChannel &) = delete;
    PlatformChannel &operator=(const PlatformChannel &) = delete;

    /*! @brief Waits for the call's turn and runs it; to be run on the strand. Ends within the timeout. */
    Awaitable<PlatformAnswer> run(PlatformRequest request);
    /*! @brief Returns the platform's time of day by the Date header of its latest answer; empty before the first. Thread-safe. */
    [[nodiscard]] std::optional<WallTime> platformTime() const;

    boost::asio::strand<boost::asio::any_io_executor> strand;

private:
    struct Connection;
    using ConnectionPointer = std::unique_ptr<Connection>;

    /*! @brief Keeps a started call counted as running until it ends, however it ends. */
    struct Turn
    {
        Turn(PlatformChannel &owner, CallLimiter::CallId call) : channel(owner), id(call) { }
        ~Turn()
        {
            channel.endTurn(*this);
        }
        Turn(const Turn &) = delete;
        Turn &operator=(const Turn &) = delete;

        PlatformChannel &channel;
        CallLimiter::CallId id;
        bool started{false};
        bool served{false};
    };

    Awaitable<bool> awaitTurn(Turn &turn, CallUrgency urgency, SteadyTime deadline);
    Awaitable<PlatformAnswer> exchange(const PlatformRequest &request, SteadyTime deadline);
    Awaitable<PlatformAnswer> exchangeOn(ConnectionPointer connection, const PlatformRequest &request, SteadyTime deadline);
    Awaitable<ConnectionPointer> connect(SteadyTime deadline);
    ConnectionPointer takeIdle();
    void endTurn(const Turn &turn);
    void pump();
    void noteDate(std::string_view date);

    std::string m_address;
    std::uint16_t m_port;
    Counters &m_counters;
    PlatformClientSettings m_settings;
    CallLimiter m_limiter;
    boost::asio::steady_timer m_pumpTimer;
    CallLimiter::CallId m_lastCall{0};
    std::map<CallLimiter::CallId, boost::asio::steady_timer *> m_waiting;
    std::vector<ConnectionPointer> m_idle;

    mutable std::mutex m_timeMutex;
    // Platform's time less this host's steady time, by the latest answer; guarded by m_timeMutex.
    std::optional<WallTime::duration> m_timeOffset;
};

} // namespace guavafield::internal
