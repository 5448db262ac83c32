// Event loops and background coroutines that outlive unexpected errors of single handlers.
#pragma once

#include <guavafield/state/counters.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>

namespace guavafield {

/*! @brief Runs the loop until it is stopped or out of work; an exception of a handler is logged and counted, and the loop goes on. */
void runEventLoop(boost::asio::io_context &io, Counters &counters);

/*!
 * @brief Runs a coroutine in the background and starts it again after a pause if it ends with an exception.
 *
 * The exception is passed on to the event loop of the executor.
 * @param loop Creates the coroutine; called again for each restart. Keeps alive what the coroutine uses.
 */
void spawnLoop(const boost::asio::any_io_executor &executor, std::function<boost::asio::awaitable<void>()> loop);

} // namespace guavafield
