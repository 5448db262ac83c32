// A request that is passed on unchanged, from its admission to the end of its answer.
#pragma once

#include <guavafield/coordination/streams/event_sequence.hpp>
#include <guavafield/transport/http/callers/caller_answer.hpp>
#include <guavafield/transport/http/forwarding/forward_attempt_plan.hpp>
#include <guavafield/transport/http/mailbox.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavafield {

struct PathContext;

/*!
 * @brief Follows the scheduler's actions and passes one upstream's answer on.
 *
 * Handles one event at a time; at most one attempt runs. Nothing goes to the caller before an upstream's answer is known to be
 * genuine. A stream that broke goes on with another upstream's events, after the last one that the caller has.
 */
class ForwardRequest
{
public:
    ForwardRequest(std::shared_ptr<PathContext> context,
                   const boost::asio::any_io_executor &strand,
                   CallerAnswer &answer,
                   std::shared_ptr<Mailbox> mailbox,
                   ForwardPlan plan);

    /*! @brief Runs the request to its end. */
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    using Awaitable = boost::asio::awaitable<void>;

    [[nodiscard]] RequestInfo requestInfo() const;
    // Whether the caller takes a stream up, and only the version that began it may go on.
    [[nodiscard]] bool needsOrigin() const;
    // Finds the origin of the stream that the caller takes up; false if it is not known, or can't be met by the route.
    [[nodiscard]] boost::asio::awaitable<bool> findOrigin();
    void tellBeginning();
    [[nodiscard]] Milliseconds timeLeft() const;

    [[nodiscard]] Awaitable on(SchedulerAction &action);
    [[nodiscard]] Awaitable on(AnswerHead &event);
    [[nodiscard]] Awaitable on(AnswerEvents &event);
    [[nodiscard]] Awaitable on(AnswerCompleted &event);
    [[nodiscard]] Awaitable on(AnswerFailed &event);
    [[nodiscard]] Awaitable on(CallerGone &event);
    [[nodiscard]] Awaitable on(HostEnding &event);
    [[nodiscard]] Awaitable on(DeadlineReached &event);
    // Events of other kinds of requests.
    [[nodiscard]] Awaitable on(AnswerStarted &event);
    [[nodiscard]] Awaitable on(AnswerStalled &event);
    [[nodiscard]] Awaitable on(ServiceOutcome &event);
    [[nodiscard]] Awaitable on(KeyClosed &event);

    [[nodiscard]] Awaitable startAttempt(const DispatchAction &dispatch);
    // Of the next attempt.
    [[nodiscard]] AttemptFacts attemptFacts() const;
    // Relays the request to another host, which counts it.
    void startRelay(const RelayTarget &target);
    // Relays the request to one more host if the last one has not run it; returns whether there is one.
    [[nodiscard]] bool relayAgain();
    [[nodiscard]] Awaitable failRelay(const AttemptFailed &failure);
    [[nodiscard]] Awaitable failAttempt(AttemptFailed failure);
    [[nodiscard]] Awaitable finishWith(ResultCode code, std::optional<Milliseconds> retryAfter = {});
    [[nodiscard]] Awaitable sendWhole(AnswerCompleted &event);
    // Appends the events that the caller lacks; false if one is missing.
    [[nodiscard]] bool takeEvents(const std::vector<std::string> &events, std::string &text, std::uint32_t &count);
    void logOutOfOrder(std::optional<std::uint64_t> number) const;
    // Whether another upstream may answer better than this status.
    [[nodiscard]] bool worthRetrying(unsigned status) const;
    void countStarted();
    void endAttempt();
    void endRelay();
    void abandon();
    void logEnd(std::string_view outcome, unsigned status, ResultCode code) const;

    std::shared_ptr<PathContext> m_context;
    boost::asio::any_io_executor m_strand;
    CallerAnswer *m_answer;
    std::shared_ptr<Mailbox> m_mailbox;
    ForwardPlan m_plan;
    const ForwardCall &m_call;
    SteadyTime m_deadline;
    // Null between attempts.
    std::shared_ptr<ForwardAttempt> m_attempt;
    // Header of the running attempt's answer.
    ServiceAnswer m_head;
    std::uint32_t m_nextAttempt{1};
    // Of all attempts.
    EventSequence m_events;
    std::optional<SteadyTime> m_firstEventAt;
    // Valid once there was a first event.
    SteadyTime m_lastEventAt{};
    // Between two events.
    Milliseconds m_longestPause{0};
    UpstreamId m_lastUpstream;
    // Of the stream that the caller takes up, if it does.
    std::optional<SoftwareVersion> m_origin;
    // Of the running attempt; empty before the first one.
    std::optional<StreamBeginning> m_beginning;
    SteadyTime m_dispatched{};
    // Host of the running attempt; empty if that is at an upstream.
    std::optional<HostId> m_relay;
    // Hosts to which the request was relayed.
    std::vector<HostId> m_relays;
    // Attempts that the host may make; 0 leaves that to it.
    std::uint32_t m_relayAttempts{0};
    // A host may have run the request without answering it.
    bool m_relayMayHaveRun{false};
    // An upstream may have run the request in an attempt that is over.
    bool m_mayHaveRun{false};
    // The running attempt has been counted as started.
    bool m_counted{false};
    // The scheduler knows of the running attempt's first event.
    bool m_firstTokenTold{false};
    bool m_over{false};
};

} // namespace guavafield
