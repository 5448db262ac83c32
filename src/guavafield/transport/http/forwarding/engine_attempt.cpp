// The coroutine of an attempt.
#include <guavafield/transport/http/forwarding/engine_attempt.hpp>

#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/http/upstreams/engine_probe.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Answers that say something about the engine or its set-up rather than about the caller's request.
bool engineRefuses(unsigned status) noexcept
{
    return status >= 500 || status == 401 || status == 403 || status == 404 || status == 408 || status == 429;
}

} // namespace internal

EngineAttempt::EngineAttempt(std::shared_ptr<PathContext> context, const asio::any_io_executor &strand, std::shared_ptr<Mailbox> mailbox, AttemptPlan plan)
    : m_context(std::move(context))
    , m_strand(strand)
    , m_plan(std::move(plan))
    , m_exchange(m_context->pool,
                 strand,
                 {{m_plan.upstream, m_plan.endpoint}, std::string(m_plan.request[requestIdHeader])},
                 ExchangeTimes{m_context->settings.upstream.tcpConnectTimeout, m_context->settings.upstream.readTimeout})
    , m_outlet(strand, std::move(mailbox))
    , m_incarnation(m_context->engines.incarnation(m_plan.upstream))
{
}

void EngineAttempt::start()
{
    asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void EngineAttempt::cancel()
{
    m_outlet.close();
    m_exchange.abort();
}

EngineAttempt::Awaitable EngineAttempt::run()
{
    const auto self = shared_from_this();
    auto result = co_await m_exchange.send(m_plan.request, false);
    if (result == ExchangeResult::Ok) {
        result = co_await m_exchange.readHeader();
    }
    if (result == ExchangeResult::Ok) {
        co_await readAnswer();
    } else {
        co_await reportFailure(result);
    }
    m_exchange.finish();
}

EngineAttempt::Awaitable EngineAttempt::readAnswer()
{
    const auto &header = m_exchange.header();
    const std::string_view id = m_plan.request[requestIdHeader];
    if (answersAnother(header, id)) {
        logEvent(LogLevel::Warning, "http:", id, "upstream " + m_plan.upstream + " sent the answer to another request");
        m_exchange.abort();
        deliverFailure(ResultCode::UpstreamFailed, RetryReason::UpstreamError);
        co_return;
    }
    const auto status = header.result_int();
    if (internal::engineRefuses(status)) {
        deliverFailure(ResultCode::UpstreamFailed, RetryReason::UpstreamError);
        co_return;
    }
    const bool isStream = isEventStream(header[boost::beast::http::field::content_type]);
    if (status == 200 && isStream != m_plan.stream) {
        deliverFailure(ResultCode::UpstreamFailed, RetryReason::UpstreamError);
        co_return;
    }
    m_answerBegan = true;
    m_outlet.deliver(AnswerStarted{m_plan.number, status, std::string(header[boost::beast::http::field::content_type])});
    if (isStream) {
        co_await readStream();
    } else {
        co_await readWhole();
    }
}

EngineAttempt::Awaitable EngineAttempt::readStream()
{
    SseParser parser;
    AnswerReservation reservation(m_context->answers, m_context->settings.limits.responseBytes);
    std::string piece;
    bool ended = false;
    while (!ended && !m_outlet.closed()) {
        AnswerEvents batch{m_plan.number, {}};
        piece.clear();
        const auto result = co_await m_exchange.readSome(piece);
        if (!parser.feed(piece, batch.events) || !reservation.resize(parser.heldBytes())) {
            deliverFailure(ResultCode::UpstreamFailed, RetryReason::UpstreamError);
            co_return;
        }
        const auto end = std::ranges::find(batch.events, sseDone);
        ended = end != batch.events.end();
        batch.events.erase(end, batch.events.end());
        if (!batch.events.empty()) {
            co_await m_outlet.deliverAndWait(std::move(batch));
        }
        if (!ended && (result != ExchangeResult::Ok || m_exchange.ended())) {
            co_await reportFailure(result == ExchangeResult::Ok ? ExchangeResult::Broken : result);
            co_return;
        }
    }
    m_outlet.deliver(AnswerCompleted{m_plan.number, 200, {}, {}});
    co_await drainAfterEnd();
}

EngineAttempt::Awaitable EngineAttempt::drainAfterEnd()
{
    std::string rest;
    auto result = ExchangeResult::Ok;
    while (result == ExchangeResult::Ok && rest.empty() && !m_exchange.ended()) {
        result = co_await m_exchange.readSome(rest);
    }
    if (!rest.empty()) {
        m_exchange.abort();
    }
}

EngineAttempt::Awaitable EngineAttempt::readWhole()
{
    AnswerCompleted answer{m_plan.number, m_exchange.header().result_int(), std::string(m_exchange.header()[boost::beast::http::field::content_type]), {}};
    AnswerReservation reservation(m_context->answers, m_context->settings.limits.responseBytes);
    while (!m_exchange.complete()) {
        const auto result = co_await m_exchange.readSome(answer.body);
        if (!reservation.resize(answer.body.size())) {
            m_exchange.abort();
            deliverFailure(ResultCode::UpstreamFailed, RetryReason::UpstreamError);
            co_return;
        }
        if (result != ExchangeResult::Ok) {
            co_await reportFailure(result);
            co_return;
        }
        if (m_exchange.ended() && !m_exchange.complete()) {
            co_await reportFailure(ExchangeResult::Broken);
            co_return;
        }
    }
    m_outlet.deliver(std::move(answer));
}

EngineAttempt::Awaitable EngineAttempt::reportFailure(ExchangeResult result)
{
    switch (result) {
    case ExchangeResult::ConnectFailed:
        deliverFailure(ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed);
        break;
    case ExchangeResult::TimedOut:
        deliverFailure(ResultCode::UpstreamTimeout, m_answerBegan ? RetryReason::AnswerIncomplete : RetryReason::FirstTokenLate);
        break;
    case ExchangeResult::Broken: {
        ConnectionTarget engine{m_plan.upstream, m_plan.endpoint};
        const bool crashed = co_await hasCrashed(m_context, m_strand, std::move(engine), m_incarnation);
        deliverFailure(ResultCode::UpstreamIncomplete, crashed ? RetryReason::UpstreamCrashed : RetryReason::AnswerIncomplete, crashed);
        break;
    }
    case ExchangeResult::Malformed:
        deliverFailure(ResultCode::UpstreamIncomplete, RetryReason::AnswerIncomplete);
        break;
    case ExchangeResult::InvalidStatus:
        deliverFailure(ResultCode::UpstreamStatusInvalid, RetryReason::StatusInvalid);
        break;
    case ExchangeResult::Ok:
    case ExchangeResult::Stalled:
    case ExchangeResult::Aborted:
        break;
    }
}

void EngineAttempt::deliverFailure(ResultCode code, RetryReason reason, bool crashed)
{
    logEvent(LogLevel::Warning,
             "http:",
             m_plan.request[requestIdHeader],
             "attempt " + std::to_string(m_plan.number) + " at upstream " + m_plan.upstream + " failed, " + std::string(describe(reason)));
    m_outlet.deliver(AnswerFailed{m_plan.number, AttemptFailed{code, reason, crashed, false}});
}

} // namespace guavafield
