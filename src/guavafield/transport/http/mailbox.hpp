// Events that reach the coroutine of one request, in the order of their arrival.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/transport/http/path_hooks.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief The engine's answer began. */
struct AnswerStarted
{
    std::uint32_t attempt{0};
    unsigned status{0};
    std::string contentType;
};
/*! @brief The header of a forwarded answer that is passed on. */
struct AnswerHead
{
    std::uint32_t attempt{0};
    unsigned status{0};
    std::vector<std::pair<std::string, std::string>> headers;
};
/*! @brief Events of a streamed answer; the attempt reads on when it is told to. */
struct AnswerEvents
{
    std::uint32_t attempt{0};
    std::vector<std::string> events;
};
/*! @brief No event has come for the time after which another upstream would be tried; the attempt goes on. */
struct AnswerStalled
{
    std::uint32_t attempt{0};
};
/*! @brief The answer is complete; the body is empty for a stream. */
struct AnswerCompleted
{
    std::uint32_t attempt{0};
    unsigned status{0};
    std::string contentType;
    std::string body;
};
/*! @brief The attempt ended without a complete answer. */
struct AnswerFailed
{
    std::uint32_t attempt{0};
    AttemptFailed failure;
};
/*! @brief The caller closed its connection. */
struct CallerGone
{
};
/*! @brief The request's key was withdrawn. */
struct KeyClosed
{
};
/*! @brief The host stops and does not wait any longer. */
struct HostEnding
{
};
/*! @brief The time for the whole answer is over. */
struct DeadlineReached
{
};

using RequestEvent = std::variant<SchedulerAction,
                                  AnswerStarted,
                                  AnswerHead,
                                  AnswerEvents,
                                  AnswerStalled,
                                  AnswerCompleted,
                                  AnswerFailed,
                                  ServiceOutcome,
                                  CallerGone,
                                  KeyClosed,
                                  HostEnding,
                                  DeadlineReached>;

/*! @brief Queue of events with one reader, which runs on the mailbox's strand. */
class Mailbox : public std::enable_shared_from_this<Mailbox>
{
public:
    /*! @param strand Serializes the reader and the delivery. */
    explicit Mailbox(boost::asio::any_io_executor strand);

    /*! @brief Delivers an event from any thread. */
    void post(RequestEvent event);
    /*! @brief Delivers an event; only from the strand. */
    void deliver(RequestEvent event);

    /*! @brief Sets what is called on the strand when an event arrives that must not wait for a slow caller. */
    void setUrgentHandler(std::function<void()> handler)
    {
        m_urgentHandler = std::move(handler);
    }

    /*! @brief Waits for the next event; gives DeadlineReached once when none came by then. */
    [[nodiscard]] boost::asio::awaitable<RequestEvent> next(SteadyTime deadline);

private:
    boost::asio::any_io_executor m_strand;
    // Cancelled when an event arrives.
    boost::asio::steady_timer m_arrival;
    std::deque<RequestEvent> m_events;
    std::function<void()> m_urgentHandler;
};

} // namespace guavafield
