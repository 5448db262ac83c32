// Spacing and waiting.
#include <guavafield/transport/fleet/shared_read.hpp>

#include <guavafield/transport/durable/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

constexpr Milliseconds readPoll{10};

// Sets a flag back at the end of a scope.
struct FlagReset
{
    explicit FlagReset(bool &it) : flag(&it) { }
    FlagReset(const FlagReset &) = delete;
    FlagReset &operator=(const FlagReset &) = delete;
    ~FlagReset()
    {
        *flag = false;
    }

    bool *flag;
};

} // namespace internal

asio::awaitable<bool> SharedRead::next(SteadyTime deadline)
{
    const auto self = shared_from_this();
    const auto wanted = m_begun + 1;
    while (m_ended < wanted && m_dependencies.clock.now() < deadline) {
        if (!m_underWay && m_dependencies.clock.now() >= m_nextAt) {
            m_underWay = true;
            asio::co_spawn(
                m_dependencies.strand, [self] { return self->run(); }, asio::detached);
        }
        co_await sleepFor(internal::readPoll);
    }
    co_return m_lastComplete >= wanted;
}

asio::awaitable<void> SharedRead::run()
{
    const auto self = shared_from_this();
    const internal::FlagReset reset(m_underWay);
    const auto number = ++m_begun;
    m_nextAt = m_dependencies.clock.now() + m_dependencies.interval();
    const bool complete = co_await m_dependencies.read();
    m_ended = number;
    m_lastComplete = complete ? number : m_lastComplete;
}

} // namespace guavafield
