// A request for a model from its admission to the end of its answer.
#pragma once

#include <guavafield/protocol/chat/chat_request.hpp>
#include <guavafield/protocol/chat/stream_chunk.hpp>
#include <guavafield/transport/http/callers/access.hpp>
#include <guavafield/transport/http/callers/caller_answer.hpp>
#include <guavafield/transport/http/forwarding/engine_attempt.hpp>
#include <guavafield/transport/http/mailbox.hpp>

#include <boost/beast/http/fields.hpp>

#include <memory>
#include <string>
#include <vector>

namespace guavafield {

struct PathContext;

/*! @brief A caller's request with everything that is known of it. */
struct ModelRequestPlan
{
    AccessGrant grant;
    ChatRequest chat;
    // The caller's headers that engines may see.
    boost::beast::http::fields headers;
    // Unique within the fleet; the caller's own id is in the answer.
    RequestId id;
    Digest fingerprint{};
    SteadyTime deadline;
};

/*!
 * @brief Follows the scheduler's actions and passes one engine's answer on.
 *
 * Handles one event at a time. At most one attempt feeds the caller: the first one to produce a token.
 */
class ModelRequest
{
public:
    ModelRequest(std::shared_ptr<PathContext> context,
                 const boost::asio::any_io_executor &strand,
                 CallerAnswer &answer,
                 std::shared_ptr<Mailbox> mailbox,
                 ModelRequestPlan plan);

    /*! @brief Runs the request to its end. */
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    using Awaitable = boost::asio::awaitable<void>;

    struct Attempt
    {
        std::shared_ptr<EngineAttempt> engine;
        // Events before the first token, kept back until it is known which attempt feeds the caller.
        std::vector<std::string> held;
    };

    // What a batch of events comes to.
    struct Batch
    {
        // In the form for the caller.
        std::string text;
        std::uint32_t tokens{0};
        bool valid{true};
        ResultCode fault{ResultCode::UpstreamOutOfSequence};
    };

    [[nodiscard]] RequestInfo requestInfo() const;

    [[nodiscard]] Awaitable on(SchedulerAction &action);
    [[nodiscard]] Awaitable on(AnswerStarted &event);
    [[nodiscard]] Awaitable on(AnswerStalled &event);
    [[nodiscard]] Awaitable on(AnswerHead &event);
    [[nodiscard]] Awaitable on(AnswerEvents &event);
    [[nodiscard]] Awaitable on(AnswerCompleted &event);
    [[nodiscard]] Awaitable on(AnswerFailed &event);
    [[nodiscard]] Awaitable on(ServiceOutcome &event);
    [[nodiscard]] Awaitable on(CallerGone &event);
    [[nodiscard]] Awaitable on(KeyClosed &event);
    [[nodiscard]] Awaitable on(HostEnding &event);
    [[nodiscard]] Awaitable on(DeadlineReached &event);

    [[nodiscard]] Awaitable startAttempt(UpstreamId upstream, std::uint8_t priority);
    void preempt(const PreemptAction &action);
    [[nodiscard]] Awaitable relay(std::shared_ptr<EngineAttempt> engine, std::vector<std::string> events);
    [[nodiscard]] Batch checkEvents(const std::vector<std::string> &events);
    [[nodiscard]] bool holdsToken(const std::vector<std::string> &events) const;
    [[nodiscard]] Awaitable failAttempt(std::shared_ptr<EngineAttempt> engine, AttemptFailed failure);
    [[nodiscard]] Awaitable finishWith(ResultCode code, std::optional<Milliseconds> retryAfter = {});
    [[nodiscard]] Awaitable sendWhole(AnswerCompleted &event);

    // Returns whether the caller may get the output of the attempt.
    [[nodiscard]] bool chooseWinner(const std::shared_ptr<EngineAttempt> &engine);
    [[nodiscard]] Attempt *findAttempt(std::uint32_t number);
    void removeAttempt(std::uint32_t number);
    // Takes the request out of the scheduler and cancels what runs for it.
    void abandon();
    void complete(const std::shared_ptr<EngineAttempt> &engine);
    void countDelivered(std::uint32_t tokens);
    void reportUsage();

    std::shared_ptr<PathContext> m_context;
    boost::asio::any_io_executor m_strand;
    CallerAnswer *m_answer;
    std::shared_ptr<Mailbox> m_mailbox;
    ModelRequestPlan m_plan;
    std::vector<Attempt> m_attempts;
    TokenSequence m_sequence;
    std::uint32_t m_nextAttempt{1};
    // Number of the attempt that feeds the caller; 0 if there is none.
    std::uint32_t m_winner{0};
    std::uint32_t m_deliveredTokens{0};
    std::uint32_t m_promptTokens{0};
    // Bytes of the request may have reached an upstream in an attempt that is over.
    bool m_sent{false};
    bool m_answered{false};
    bool m_over{false};
};

} // namespace guavafield
