// Headers, bodies and events for callers.
#include <guavafield/transport/http/callers/caller_answer.hpp>

#include <guavafield/protocol/chat/sse.hpp>
#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>

namespace guavafield {

namespace internal {

namespace http = boost::beast::http;

constexpr Milliseconds defaultRetryAfter{1'000};

// Answers of these statuses end with their header.
bool isBodiless(unsigned status) noexcept
{
    return status == 204 || status == 304;
}

bool refusalByState(ResultCode code) noexcept
{
    const auto status = describe(code).httpStatus;
    return status == 429 || status == 503;
}

} // namespace internal

CallerAnswer::CallerAnswer(std::shared_ptr<PathContext> context, std::shared_ptr<CallerStream> stream, RequestId requestId, bool keepAlive, bool headOnly)
    : m_context(std::move(context)), m_stream(std::move(stream)), m_requestId(std::move(requestId)), m_keepAlive(keepAlive), m_headOnly(headOnly)
{
}

std::string CallerAnswer::formatHeader(const ServiceAnswer &answer, bool chunked)
{
    if (m_context->draining.load(std::memory_order_acquire)) {
        m_keepAlive = false;
    }
    internal::http::response<internal::http::empty_body> response;
    response.version(11);
    response.result(answer.status);
    for (const auto &[name, value] : answer.headers) {
        response.insert(name, value);
    }
    const auto &forward = m_context->hooks.forward;
    response.set(forward ? std::string_view(forward->requestIdHeader) : requestIdHeader, m_requestId);
    if (!forward && m_context->age.tooOld(m_context->clock->now())) {
        response.set("X-Guavafield-Configuration", "unconfirmed");
    }
    response.keep_alive(m_keepAlive);
    if (chunked) {
        response.chunked(true);
    } else if (!answer.body.empty() || !(m_headOnly || internal::isBodiless(answer.status))) {
        response.content_length(answer.body.size());
    }
    std::ostringstream text;
    text << response.base();
    return text.str();
}

boost::asio::awaitable<bool> CallerAnswer::sendWhole(const ServiceAnswer &answer)
{
    auto bytes = formatHeader(answer, false);
    if (!m_headOnly && !internal::isBodiless(answer.status)) {
        bytes += answer.body;
    }
    m_started = true;
    const bool written = co_await m_stream->write(bytes);
    m_keepAlive = m_keepAlive && written;
    co_return written;
}

boost::asio::awaitable<bool> CallerAnswer::sendError(ErrorReply reply)
{
    m_context->counters->addRefusal(reply.code);
    reply.requestId = m_requestId;
    logEvent(LogLevel::Info, "http:", m_requestId, "refused with code " + std::to_string(static_cast<unsigned>(reply.code)) + ", " + errorName(reply.code));
    if (m_started) {
        m_keepAlive = false;
        const auto event = formatErrorEvent(reply);
        const bool written = co_await sendEvents(event);
        co_await m_stream->closeGracefully();
        co_return written;
    }
    if (!reply.retryAfter && internal::refusalByState(reply.code)) {
        reply.retryAfter = m_context->jittered(internal::defaultRetryAfter);
    }
    ServiceAnswer answer;
    answer.status = describe(reply.code).httpStatus;
    answer.headers.emplace_back("Content-Type", "application/json");
    if (reply.retryAfter) {
        answer.headers.emplace_back("Retry-After",
                                    m_context->hooks.forward ? fractionalSeconds(*reply.retryAfter) : std::to_string(retryAfterSeconds(*reply.retryAfter)));
    }
    answer.body = formatErrorBody(reply);
    const bool written = co_await sendWhole(answer);
    co_return written;
}

boost::asio::awaitable<bool> CallerAnswer::beginStream()
{
    ServiceAnswer answer;
    answer.headers.emplace_back("Content-Type", "text/event-stream");
    answer.headers.emplace_back("Cache-Control", "no-cache");
    co_return co_await beginStream(answer);
}

boost::asio::awaitable<bool> CallerAnswer::beginStream(const ServiceAnswer &head)
{
    const auto header = formatHeader(head, true);
    m_started = true;
    m_context->counters->add(CounterId::StreamsOpened);
    const bool written = co_await m_stream->write(header);
    co_return written;
}

boost::asio::awaitable<bool> CallerAnswer::sendEvents(std::string_view events)
{
    if (m_headOnly) {
        co_return true;
    }
    const bool written = co_await m_stream->writeChunk(events);
    m_keepAlive = m_keepAlive && written;
    co_return written;
}

boost::asio::awaitable<bool> CallerAnswer::endStream()
{
    std::string event;
    appendSseEvent(event, sseDone);
    bool written = co_await sendEvents(event);
    if (written) {
        written = co_await endForwardedStream();
    }
    co_return written;
}

boost::asio::awaitable<bool> CallerAnswer::endForwardedStream()
{
    if (m_headOnly) {
        co_return true;
    }
    const bool written = co_await m_stream->writeLastChunk();
    m_keepAlive = m_keepAlive && written;
    co_return written;
}

void CallerAnswer::breakOff()
{
    m_keepAlive = false;
    m_stream->close();
}

} // namespace guavafield
