// One attempt to run a model request on an engine.
#pragma once

#include <guavafield/protocol/chat/sse.hpp>
#include <guavafield/state/configuration.hpp>
#include <guavafield/transport/http/forwarding/attempt_outlet.hpp>
#include <guavafield/transport/http/upstreams/upstream_exchange.hpp>

#include <memory>
#include <string>

namespace guavafield {

struct PathContext;

/*! @brief What an attempt needs. */
struct AttemptPlan
{
    // Distinguishes the attempts of one request.
    std::uint32_t number{0};
    UpstreamId upstream;
    UpstreamEndpoint endpoint;
    UpstreamRequest request;
    bool stream{false};
};

/*!
 * @brief Sends a request to an engine and delivers the answer to the request's mailbox.
 *
 * Runs on the strand of the mailbox. After cancel() it delivers nothing more.
 */
class EngineAttempt : public std::enable_shared_from_this<EngineAttempt>
{
public:
    EngineAttempt(std::shared_ptr<PathContext> context, const boost::asio::any_io_executor &strand, std::shared_ptr<Mailbox> mailbox, AttemptPlan plan);

    void start();
    /*! @brief Closes the connection, which cancels the request at the engine. */
    void cancel();
    /*! @brief Reads on after AnswerEvents; until then nothing is read, so that a slow caller slows the engine down. */
    void readOn()
    {
        m_outlet.readOn();
    }

    [[nodiscard]] std::uint32_t number() const noexcept
    {
        return m_plan.number;
    }
    [[nodiscard]] const UpstreamId &upstream() const noexcept
    {
        return m_plan.upstream;
    }
    /*! @brief Returns whether bytes of the request may have reached the engine. */
    [[nodiscard]] bool sent() const noexcept
    {
        return m_exchange.sent();
    }

private:
    using Awaitable = boost::asio::awaitable<void>;

    [[nodiscard]] Awaitable run();
    [[nodiscard]] Awaitable readAnswer();
    [[nodiscard]] Awaitable readStream();
    [[nodiscard]] Awaitable readWhole();
    [[nodiscard]] Awaitable drainAfterEnd();
    [[nodiscard]] Awaitable reportFailure(ExchangeResult result);
    void deliverFailure(ResultCode code, RetryReason reason, bool crashed = false);

    std::shared_ptr<PathContext> m_context;
    boost::asio::any_io_executor m_strand;
    AttemptPlan m_plan;
    UpstreamExchange m_exchange;
    AttemptOutlet m_outlet;
    // Process of the engine when the attempt began; 0 if it has not reported.
    Incarnation m_incarnation{0};
    bool m_answerBegan{false};
};

} // namespace guavafield
