// A call of a plain service.
#pragma once

#include <guavafield/transport/http/callers/access.hpp>
#include <guavafield/transport/http/callers/caller_answer.hpp>
#include <guavafield/transport/http/mailbox.hpp>
#include <guavafield/transport/http/upstreams/upstream_exchange.hpp>

#include <memory>
#include <string>

namespace guavafield {

struct PathContext;

/*! @brief A call and where it may go. */
struct ServiceCallPlan
{
    AccessGrant grant;
    // Without the host, which depends on the upstream.
    UpstreamRequest request;
    std::string idempotencyKey;
    RequestId id;
};

/*!
 * @brief Sends a call to one upstream after another until one answers, as far as repeating it is allowed.
 *
 * Outlives its caller if the call may not be repeated, since its outcome has to be recorded.
 */
class ServiceExchange : public std::enable_shared_from_this<ServiceExchange>
{
public:
    ServiceExchange(std::shared_ptr<PathContext> context, const boost::asio::any_io_executor &strand, ServiceCallPlan plan);

    /*! @brief Runs the call; at most once. */
    [[nodiscard]] boost::asio::awaitable<ServiceOutcome> run();
    /*! @brief Gives the call up; run() then returns a failure. */
    void abort();

private:
    [[nodiscard]] boost::asio::awaitable<ServiceOutcome> tryUpstream(const Upstream &upstream);

    std::shared_ptr<PathContext> m_context;
    boost::asio::any_io_executor m_strand;
    ServiceCallPlan m_plan;
    // Set while an exchange runs.
    UpstreamExchange *m_exchange{nullptr};
    bool m_aborted{false};
    // Bytes of the request may have reached an upstream.
    bool m_sent{false};
};

/*! @brief Runs a call for a caller and sends the answer. */
[[nodiscard]] boost::asio::awaitable<void> serveCall(
    std::shared_ptr<PathContext> context, boost::asio::any_io_executor strand, CallerAnswer &answer, std::shared_ptr<Mailbox> mailbox, ServiceCallPlan plan);

} // namespace guavafield
