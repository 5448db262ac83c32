// One attempt to run a forwarded request at an upstream.
#pragma once

#include <guavafield/coordination/request/limits/rate_limit.hpp>
#include <guavafield/state/configuration.hpp>
#include <guavafield/transport/http/forwarding/attempt_outlet.hpp>
#include <guavafield/transport/http/upstreams/upstream_exchange.hpp>

#include <memory>
#include <string>

namespace guavafield {

struct AnswerFacts;
struct PathContext;

/*! @brief What a forwarded attempt needs. */
struct ForwardAttemptPlan
{
    // Distinguishes the attempts of one request.
    std::uint32_t number{0};
    // The caller's id of the request.
    RequestId id;
    UpstreamId upstream;
    UpstreamEndpoint endpoint;
    UpstreamRequest request;
    // The route answers with streams of events.
    bool stream{false};
    // Longest wait for the first byte of the answer, and then for each further one.
    Milliseconds firstByteTime{0};
    Milliseconds silenceTime{0};
    // Of the upstream when the attempt was dispatched, in requests per second.
    double rateLimit{unlimitedRate};
    // The upstream is another host, to which the request is relayed.
    bool relay{false};
    // Of the upstream's process as its entry names it. Another process must not get the request; 0 if any may.
    Incarnation incarnation{0};
};

/*!
 * @brief Sends a request to an upstream and delivers the answer to the request's mailbox.
 *
 * Runs on the strand of the mailbox. After cancel() it delivers nothing more.
 */
class ForwardAttempt : public std::enable_shared_from_this<ForwardAttempt>
{
public:
    ForwardAttempt(std::shared_ptr<PathContext> context, const boost::asio::any_io_executor &strand, std::shared_ptr<Mailbox> mailbox, ForwardAttemptPlan plan);

    void start();
    /*! @brief Closes the connection, which cancels the request at the upstream. */
    void cancel();
    /*! @brief Reads on after AnswerEvents; until then nothing is read, so that a slow caller slows the upstream down. */
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
    /*! @brief Returns whether bytes of the request may have reached the upstream. */
    [[nodiscard]] bool sent() const noexcept
    {
        return m_exchange.sent();
    }
    /*! @brief Returns whether the process that runs the request has named itself as the plan's incarnation. */
    [[nodiscard]] bool identified() const noexcept
    {
        return m_identified;
    }

private:
    using Awaitable = boost::asio::awaitable<void>;

    [[nodiscard]] Awaitable run();
    // Connects to the process that the plan names; false if that failed, which has been reported.
    [[nodiscard]] boost::asio::awaitable<bool> connectToProcess();
    // Asks the process at the other end; empty if the connection can't be used.
    [[nodiscard]] boost::asio::awaitable<std::optional<ProcessIdentity>> askProcess(bool freshConnection);
    void logProcess() const;
    void reportReplaced(Incarnation seen);
    void reportUnidentified();
    // Reads headers until one answers this request; false if there is none, which has been reported.
    [[nodiscard]] boost::asio::awaitable<bool> readHeader(AnswerFacts &facts);
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> skipAnswer();
    // Takes up what the upstream says about itself, in whichever answer.
    void noteUpstream(const AnswerFacts &facts);
    void noteRateLimit(const AnswerFacts &facts);
    void noteRejectionLimit(const UpstreamId &upstream, const AnswerFacts &facts);
    // Takes up what the upstream behind another host says about itself, as this host passes the answer on.
    void noteRelayedUpstream(const AnswerFacts &facts);
    [[nodiscard]] Awaitable readAnswer(const AnswerFacts &facts);
    [[nodiscard]] Awaitable readStream();
    [[nodiscard]] Awaitable readWhole();
    void reportFailure(ExchangeResult result);
    void deliverFailure(AttemptFailed failure, std::string_view cause);

    std::shared_ptr<PathContext> m_context;
    boost::asio::any_io_executor m_strand;
    ForwardAttemptPlan m_plan;
    UpstreamExchange m_exchange;
    AttemptOutlet m_outlet;
    SteadyTime m_startedAt{};
    // What ended the last try to find out which process is at the other end.
    ExchangeResult m_askResult{ExchangeResult::Ok};
    bool m_identified{false};
    // An answer to this request has begun.
    bool m_answered{false};
    // The header of the answer has been passed on.
    bool m_headDelivered{false};
    // So has an event with data, or the header of an answer that is no stream.
    bool m_contentDelivered{false};
};

} // namespace guavafield
