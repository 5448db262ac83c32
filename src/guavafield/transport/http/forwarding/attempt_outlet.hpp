// The way from an attempt to the request that it serves.
#pragma once

#include <guavafield/transport/http/mailbox.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace guavafield {

/*!
 * @brief Delivers an attempt's events to its request's mailbox, and nothing more after close().
 *
 * Runs on the strand of the mailbox.
 */
class AttemptOutlet
{
public:
    AttemptOutlet(const boost::asio::any_io_executor &strand, std::shared_ptr<Mailbox> mailbox);

    void deliver(RequestEvent event);
    /*! @brief Delivers events and returns when the request has asked for more, so that a slow caller slows the upstream down. */
    [[nodiscard]] boost::asio::awaitable<void> deliverAndWait(AnswerEvents events);
    /*! @brief Ends the wait of deliverAndWait(). */
    void readOn();
    void close();
    [[nodiscard]] bool closed() const noexcept
    {
        return m_closed;
    }

private:
    std::shared_ptr<Mailbox> m_mailbox;
    boost::asio::steady_timer m_reader;
    bool m_waitingForReader{false};
    bool m_closed{false};
};

} // namespace guavafield
