// A timer on the strand serves as the condition variable of the queue.
#include <guavafield/transport/http/mailbox.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace guavafield {

Mailbox::Mailbox(boost::asio::any_io_executor strand) : m_strand(std::move(strand)), m_arrival(m_strand) { }

void Mailbox::post(RequestEvent event)
{
    boost::asio::post(m_strand, [self = shared_from_this(), event = std::move(event)]() mutable { self->deliver(std::move(event)); });
}

void Mailbox::deliver(RequestEvent event)
{
    const bool urgent = std::holds_alternative<KeyClosed>(event) || std::holds_alternative<HostEnding>(event);
    m_events.push_back(std::move(event));
    if (urgent && m_urgentHandler) {
        m_urgentHandler();
    }
    m_arrival.cancel();
}

boost::asio::awaitable<RequestEvent> Mailbox::next(SteadyTime deadline)
{
    while (m_events.empty()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return RequestEvent{DeadlineReached{}};
        }
        m_arrival.expires_at(deadline);
        boost::system::error_code ec;
        co_await m_arrival.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    auto event = std::move(m_events.front());
    m_events.pop_front();
    co_return event;
}

} // namespace guavafield
