// A pause inside a coroutine.
#pragma once

#include <guavafield/state/types.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace guavafield {

/*! @brief Waits on the coroutine's executor. */
[[nodiscard]] inline boost::asio::awaitable<void> sleepFor(Milliseconds time)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace guavafield
