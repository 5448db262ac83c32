// Opens connections to upstreams only to see whether they can be reached, which an answer proves.
#pragma once

#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>
#include <guavafield/transport/http/upstreams/connection_pool.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace guavafield {

struct PathContext;

/*! @brief Performs the probes that the scheduler asks for; a connection that is made is kept for the next request. */
class ConnectionProber : public std::enable_shared_from_this<ConnectionProber>
{
public:
    explicit ConnectionProber(std::shared_ptr<PathContext> context);

    void start();
    /*! @brief Ends the probes; may be called from any thread. */
    void stop();

private:
    using Awaitable = boost::asio::awaitable<void>;

    struct ProbeAnswer
    {
        ProbeResult result{ProbeResult::Unanswered};
        // Of the process at the other end; empty if it doesn't name it.
        std::optional<Incarnation> named;
    };

    [[nodiscard]] Awaitable run();
    [[nodiscard]] Awaitable probe(ProbeTarget target);
    // Waits for an answer on a new connection; one that opens proves no reach, as something between may have taken it.
    [[nodiscard]] boost::asio::awaitable<ProbeAnswer>
    ask(const ProbeTarget &target, const UpstreamEndpoint &endpoint, std::unique_ptr<UpstreamConnection> connection);

    std::shared_ptr<PathContext> m_context;
    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_timer;
    // Used on the strand.
    bool m_stopped{false};
};

} // namespace guavafield
