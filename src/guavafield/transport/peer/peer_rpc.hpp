// Cap'n Proto RPC between peers for what is large or needs a reply. kj's event loop has a thread of its own.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/state/result.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace guavafield {

class Counters;

/*! @brief What peers may ask this host for; called on the executor. Payloads are opaque to the transport. */
struct PeerRpcHooks
{
    std::function<std::string(Revision after)> changes;
    std::function<std::string()> snapshot;
    std::function<std::string()> status;
};

/*! @brief Methods of a peer. */
enum class PeerMethod : std::uint8_t {
    Changes,
    Snapshot,
    Status,
};

/*! @brief RPC server and client of a host. Safe to use from several threads. */
class PeerRpc
{
public:
    using Done = std::function<void(Outcome<std::string>)>;

    // An authenticated call, connection included, has to end within this time.
    static constexpr Milliseconds callTimeout{5000};
    // A connection that has not proved knowledge of the secret by then is closed.
    static constexpr Milliseconds handshakeTimeout{2000};
    static constexpr std::size_t maxConnections = 64;
    static constexpr std::size_t maxPayloadBytes = 64UL * 1024 * 1024;

    /*!
     * @brief Starts the thread and serves.
     * @param executor Runs hooks and replies; outlives the object.
     * @param acceptor Bound and listening.
     */
    PeerRpc(boost::asio::any_io_executor executor, boost::asio::ip::tcp::acceptor acceptor, std::string fleetSecret, PeerRpcHooks hooks, Counters &counters);
    ~PeerRpc();
    PeerRpc(const PeerRpc &) = delete;
    PeerRpc &operator=(const PeerRpc &) = delete;

    /*!
     * @brief Calls a peer.
     * @param after The revision after which changes are wanted; unused by other methods.
     * @param done Called once, on the executor.
     */
    void call(const PeerAddress &peer, PeerMethod method, Revision after, Done done);

    /*! @brief Stops the thread; calls that have not ended are done with PeerUnreachable. */
    void stop();

private:
    class Loop;
    class Shared;

    std::shared_ptr<Shared> m_shared;
    std::unique_ptr<Loop> m_loop;
};

} // namespace guavafield
