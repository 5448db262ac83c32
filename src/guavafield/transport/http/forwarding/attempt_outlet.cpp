// Delivery and the wait for the reader.
#include <guavafield/transport/http/forwarding/attempt_outlet.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;

AttemptOutlet::AttemptOutlet(const asio::any_io_executor &strand, std::shared_ptr<Mailbox> mailbox) : m_mailbox(std::move(mailbox)), m_reader(strand) { }

void AttemptOutlet::deliver(RequestEvent event)
{
    if (!m_closed) {
        m_mailbox->deliver(std::move(event));
    }
}

asio::awaitable<void> AttemptOutlet::deliverAndWait(AnswerEvents events)
{
    m_waitingForReader = true;
    deliver(std::move(events));
    while (m_waitingForReader && !m_closed) {
        m_reader.expires_at(SteadyTime::max());
        boost::system::error_code ec;
        co_await m_reader.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

void AttemptOutlet::readOn()
{
    m_waitingForReader = false;
    m_reader.cancel();
}

void AttemptOutlet::close()
{
    m_closed = true;
    readOn();
}

} // namespace guavafield
