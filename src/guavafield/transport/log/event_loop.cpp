// Catching of exceptions around handlers and loops.
#include <guavafield/transport/log/event_loop.hpp>

#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <exception>
#include <string>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Keeps a loop that fails each time from occupying the processor.
constexpr Milliseconds restartPause{100};

std::string describeCurrentException()
{
    try {
        throw;
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "an exception of unknown type";
    }
}

asio::awaitable<void> superviseLoop(std::function<asio::awaitable<void>()> loop)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await loop();
            co_return;
        } catch (...) {
            failure = std::current_exception();
        }
        asio::post(co_await asio::this_coro::executor, [failure] { std::rethrow_exception(failure); });
        co_await sleepFor(restartPause);
    }
}

} // namespace internal

void runEventLoop(asio::io_context &io, Counters &counters)
{
    while (true) {
        try {
            io.run();
            return;
        } catch (...) {
            counters.add(CounterId::UnexpectedErrors);
            logEvent(LogLevel::Error, "main:", {}, "unexpected error, cause=\"" + internal::describeCurrentException() + "\"");
        }
    }
}

void spawnLoop(const asio::any_io_executor &executor, std::function<asio::awaitable<void>()> loop)
{
    asio::co_spawn(executor, internal::superviseLoop(std::move(loop)), asio::detached);
}

} // namespace guavafield
