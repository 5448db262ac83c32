// The coroutine of a forwarded attempt.
#include <guavafield/transport/http/forwarding/forward_attempt.hpp>

#include <guavafield/transport/http/forwarding/event_splitter.hpp>
#include <guavafield/transport/http/forwarding/relay_headers.hpp>
#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Stray answers that are skipped on a connection that has carried no request before.
constexpr std::size_t minStrayAnswers = 2;
constexpr std::size_t maxStrayBytes = std::size_t{1} << 20U;
// Connections on which an attempt asks for the process at the other end.
constexpr int maxConnections = 3;
// An upstream answers the question at once, however busy it is; a sound one may be silent for a second.
constexpr Milliseconds processAnswerTime{1'500};

std::size_t totalSize(const std::vector<std::string> &events) noexcept
{
    return std::accumulate(events.begin(), events.end(), std::size_t{0}, [](std::size_t sum, const std::string &it) { return sum + it.size(); });
}

bool isSuccess(unsigned status) noexcept
{
    return status >= 200 && status < 300;
}

} // namespace internal

ForwardAttempt::ForwardAttempt(std::shared_ptr<PathContext> context,
                               const asio::any_io_executor &strand,
                               std::shared_ptr<Mailbox> mailbox,
                               ForwardAttemptPlan plan)
    : m_context(std::move(context))
    , m_strand(strand)
    , m_plan(std::move(plan))
    , m_exchange(m_context->pool,
                 strand,
                 {{m_plan.upstream, m_plan.endpoint}, m_plan.id},
                 ExchangeTimes{m_context->settings.upstream.tcpConnectTimeout, m_plan.firstByteTime})
    , m_outlet(strand, std::move(mailbox))
{
    if (m_plan.relay) {
        m_exchange.setKeepAlive(m_context->callerLimits().idleTime);
    }
}

void ForwardAttempt::start()
{
    m_startedAt = m_context->clock->now();
    asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void ForwardAttempt::cancel()
{
    m_outlet.close();
    m_exchange.abort();
}

ForwardAttempt::Awaitable ForwardAttempt::run()
{
    const auto self = shared_from_this();
    const bool connected = m_plan.incarnation == 0 || co_await connectToProcess();
    if (!connected) {
        m_exchange.finish();
        co_return;
    }
    const auto result = co_await m_exchange.sendConcurrently(m_plan.request, self);
    if (result == ExchangeResult::Ok) {
        AnswerFacts facts;
        const bool ours = co_await readHeader(facts);
        if (ours) {
            co_await readAnswer(facts);
        }
    } else {
        reportFailure(result);
    }
    m_exchange.finish();
}

asio::awaitable<bool> ForwardAttempt::connectToProcess()
{
    for (int n = 0; n < internal::maxConnections; ++n) {
        const auto identity = co_await askProcess(n > 0);
        if (!identity) {
            if (m_askResult != ExchangeResult::Broken) {
                break;
            }
            continue;
        }
        m_identified = identity->incarnation == m_plan.incarnation;
        if (m_identified || !identity->incarnation) {
            logProcess();
            co_return true;
        }
        if (!m_exchange.kept()) {
            reportReplaced(*identity->incarnation);
            co_return false;
        }
        // The connection may be a former process's.
    }
    reportUnidentified();
    co_return false;
}

asio::awaitable<std::optional<ProcessIdentity>> ForwardAttempt::askProcess(bool freshConnection)
{
    m_askResult = co_await m_exchange.connect(m_plan.request.method() == boost::beast::http::verb::head, freshConnection);
    if (m_askResult == ExchangeResult::Ok) {
        m_askResult = co_await m_exchange.identify(m_context->hooks.forward->process, internal::processAnswerTime);
    }
    co_return m_askResult == ExchangeResult::Ok ? std::optional(m_exchange.process()) : std::nullopt;
}

void ForwardAttempt::logProcess() const
{
    if (!m_exchange.kept()) {
        const auto text = "process of an upstream asked, upstream=" + m_plan.upstream + " listed=" + std::to_string(m_plan.incarnation);
        logEvent(LogLevel::Info, "http:", m_plan.id, text + " answer=" + (m_identified ? "the same" : "none"));
    }
}

void ForwardAttempt::reportReplaced(Incarnation seen)
{
    m_context->driver->onProcessReplaced(m_plan.upstream, m_plan.incarnation);
    const auto text = "upstream's process replaced, upstream=" + m_plan.upstream + " listed=" + std::to_string(m_plan.incarnation);
    logEvent(LogLevel::Warning, "http:", m_plan.id, text + " seen=" + std::to_string(seen));
    AttemptFailed failure{ResultCode::UpstreamUnreachable, RetryReason::UpstreamReplaced};
    failure.notExecuted = true;
    deliverFailure(failure, "another process than the entry names");
}

void ForwardAttempt::reportUnidentified()
{
    AttemptFailed failure{ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed};
    failure.notExecuted = true;
    if (m_askResult == ExchangeResult::ConnectFailed) {
        deliverFailure(failure, "no connection");
    } else if (m_askResult != ExchangeResult::Aborted) {
        failure.reason = RetryReason::UpstreamUnidentified;
        deliverFailure(failure, "the process did not say which one it is");
    }
}

asio::awaitable<bool> ForwardAttempt::readHeader(AnswerFacts &facts)
{
    // Each earlier request may be answered once more.
    const auto maxStrays = std::max(internal::minStrayAnswers, m_exchange.earlierRequests());
    for (std::size_t strays = 0; strays <= maxStrays; ++strays) {
        auto result = co_await m_exchange.readHeader();
        if (result == ExchangeResult::Ok) {
            facts = m_context->hooks.forward->readAnswer(m_exchange.header(), m_plan.id);
            if (m_plan.relay) {
                noteRelayedUpstream(facts);
            } else {
                noteUpstream(facts);
            }
            const bool unnamed = !facts.ours && !facts.stray;
            const bool copyOfIdentity = unnamed && m_exchange.asked() && !facts.genuine && m_exchange.header().result() == boost::beast::http::status::ok;
            if (!facts.stray && !copyOfIdentity) {
                m_answered = facts.ours && !facts.misdirected;
                co_return true;
            }
            logEvent(LogLevel::Warning,
                     "http:",
                     m_plan.id,
                     "stray answer skipped, upstream=" + m_plan.upstream + " status=" + std::to_string(m_exchange.header().result_int()));
            result = co_await skipAnswer();
        }
        if (result != ExchangeResult::Ok) {
            reportFailure(result);
            co_return false;
        }
    }
    deliverFailure(AttemptFailed{ResultCode::UpstreamFailed, RetryReason::UpstreamError}, "answers to other requests only");
    co_return false;
}

void ForwardAttempt::noteUpstream(const AnswerFacts &facts)
{
    if (facts.misdirected) {
        // Another upstream at the address says nothing of this one.
        return;
    }
    if (facts.leaving && m_context->driver->onDrainAnnounced(m_plan.upstream)) {
        logEvent(LogLevel::Info, "http:", m_plan.id, "upstream announces that it leaves, upstream=" + m_plan.upstream);
    }
    if (facts.coldFor && facts.ours) {
        m_context->driver->onCold(m_plan.upstream, *facts.coldFor);
    }
    // The time of an earlier refusal began earlier.
    if (facts.pause && facts.ours) {
        m_context->driver->onPauseRequested(m_plan.upstream, *facts.pause);
        const auto text = "upstream asks for a pause, upstream=" + m_plan.upstream + " pause_ms=" + std::to_string(facts.pause->count());
        logEvent(LogLevel::Info, "http:", m_plan.id, text);
    }
    if (facts.load && facts.ours) {
        m_context->driver->onLoadReport(m_plan.upstream, *facts.load);
    }
    noteRateLimit(facts);
    noteRejectionLimit(m_plan.upstream, facts);
}

void ForwardAttempt::noteRateLimit(const AnswerFacts &facts)
{
    if (!facts.ours || !facts.rateLimit) {
        return;
    }
    const bool limited = *facts.rateLimit != unlimitedRate;
    // Only a whole answer to a request that was sent under the limit shows that the limit has ended.
    const bool ended = !limited && m_plan.rateLimit != unlimitedRate && (facts.genuine || facts.notExecuted);
    if (!limited && !ended) {
        return;
    }
    if (m_context->driver->onRateLimit(m_plan.upstream, *facts.rateLimit, limited ? m_context->clock->now() : m_startedAt)) {
        auto text = limited ? "upstream limits its rate, upstream=" + m_plan.upstream + " per_second=" + formatRate(*facts.rateLimit)
                            : "upstream limits its rate no more, upstream=" + m_plan.upstream;
        logEvent(LogLevel::Info, "http:", m_plan.id, text);
    }
}

void ForwardAttempt::noteRejectionLimit(const UpstreamId &upstream, const AnswerFacts &facts)
{
    if (!facts.ours || !facts.rejectionLimit) {
        return;
    }
    const bool limited = *facts.rejectionLimit != unlimitedRate;
    // A whole answer without the notice ends those that were known when its request was sent.
    const bool stated = limited || facts.genuine || facts.notExecuted;
    if (stated && m_context->driver->onRejectionLimit(upstream, *facts.rejectionLimit, limited ? m_context->clock->now() : m_startedAt)) {
        const auto text = limited ? " falls over under rejections, per_second=" + formatRate(*facts.rejectionLimit) : " bears rejections again";
        logEvent(LogLevel::Info, "http:", m_plan.id, "upstream" + text + " upstream=" + upstream);
    }
}

void ForwardAttempt::noteRelayedUpstream(const AnswerFacts &facts)
{
    const UpstreamId upstream(m_exchange.header()[relayUpstreamHeader]);
    if (!facts.ours || upstream.empty()) {
        return;
    }
    if (facts.leaving && m_context->driver->onDrainAnnounced(upstream)) {
        logEvent(LogLevel::Info, "http:", m_plan.id, "upstream announces that it leaves, upstream=" + upstream + " through=" + m_plan.upstream);
    }
    if (facts.coldFor) {
        m_context->driver->onCold(upstream, *facts.coldFor);
    }
    if (facts.rejectionLimit && *facts.rejectionLimit != unlimitedRate) {
        noteRejectionLimit(upstream, facts);
    }
    const bool limited = facts.rateLimit && *facts.rateLimit != unlimitedRate;
    if (limited && m_context->driver->onRateLimit(upstream, *facts.rateLimit, m_context->clock->now())) {
        const auto text = "upstream limits its rate, upstream=" + upstream + " per_second=" + formatRate(*facts.rateLimit) + " through=" + m_plan.upstream;
        logEvent(LogLevel::Info, "http:", m_plan.id, text);
    }
}

asio::awaitable<ExchangeResult> ForwardAttempt::skipAnswer()
{
    std::string piece;
    std::size_t skipped = 0;
    auto result = ExchangeResult::Ok;
    while (result == ExchangeResult::Ok && !m_exchange.ended()) {
        piece.clear();
        result = co_await m_exchange.readSome(piece);
        skipped += piece.size();
        if (skipped > internal::maxStrayBytes) {
            co_return ExchangeResult::Malformed;
        }
    }
    // An answer that ends with its connection leaves none for the one that is waited for.
    co_return m_exchange.complete() ? result : ExchangeResult::Broken;
}

ForwardAttempt::Awaitable ForwardAttempt::readAnswer(const AnswerFacts &facts)
{
    const auto status = m_exchange.header().result_int();
    if (!facts.ours) {
        // It may be an earlier answer once more, so that it says nothing about this request.
        m_exchange.abort();
        deliverFailure(AttemptFailed{ResultCode::UpstreamFailed, RetryReason::UpstreamError}, "the answer names no request");
        co_return;
    }
    if (!m_plan.relay && (facts.notExecuted || facts.misdirected)) {
        AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
        failure.notExecuted = true;
        failure.rejected = !facts.misdirected;
        deliverFailure(failure, facts.misdirected ? "address belongs to another upstream" : "refused by the upstream");
        if (!facts.misdirected) {
            std::ignore = co_await skipAnswer();
        }
        co_return;
    }
    const bool success = internal::isSuccess(status);
    // An upstream that does not say so must not make this host promise that the request was not run; another host knows what it promises.
    const bool truthful = success ? facts.genuine : m_plan.relay || !promisesNotRun(status);
    if (!truthful) {
        m_exchange.abort();
        deliverFailure(AttemptFailed{ResultCode::UpstreamFailed, RetryReason::UpstreamError}, "not a genuine answer, status " + std::to_string(status));
        co_return;
    }
    m_headDelivered = true;
    m_contentDelivered = !m_plan.stream;
    AnswerHead head{m_plan.number, status, endToEndHeaders(m_exchange.header())};
    std::erase_if(head.headers, [](const auto &it) { return boost::beast::iequals(it.first, relayUpstreamHeader); });
    const auto length = m_exchange.header().find(boost::beast::http::field::content_length);
    if (m_plan.request.method() == boost::beast::http::verb::head && length != m_exchange.header().end()) {
        // That of the body which GET would get.
        head.headers.emplace_back(length->name_string(), length->value());
    }
    m_outlet.deliver(std::move(head));
    m_exchange.setSilence(m_plan.silenceTime);
    if (success && m_plan.stream) {
        co_await readStream();
    } else {
        co_await readWhole();
    }
}

ForwardAttempt::Awaitable ForwardAttempt::readStream()
{
    EventSplitter splitter;
    AnswerReservation reservation(m_context->answers, m_context->settings.limits.responseBytes);
    std::string piece;
    auto result = ExchangeResult::Ok;
    auto lastProgress = std::chrono::steady_clock::now();
    while (result == ExchangeResult::Ok && !m_exchange.ended() && !m_outlet.closed()) {
        AnswerEvents batch{m_plan.number, {}};
        piece.clear();
        const auto patience = lastProgress + m_plan.silenceTime;
        result = co_await m_exchange.readSome(piece, patience);
        const bool whole = splitter.feed(piece, batch.events);
        // Events are held until the caller has taken them.
        if (!whole || !reservation.resize(splitter.heldBytes() + internal::totalSize(batch.events))) {
            m_exchange.abort();
            deliverFailure(AttemptFailed{ResultCode::UpstreamFailed, RetryReason::UpstreamError}, "the event is too large");
            co_return;
        }
        // Bytes that complete no event, comments and empty events keep a connection busy but bring the caller nothing.
        const auto now = std::chrono::steady_clock::now();
        if (std::ranges::any_of(batch.events, hasData)) {
            m_contentDelivered = true;
            lastProgress = now;
        } else if (result == ExchangeResult::Stalled || (result == ExchangeResult::Ok && now >= patience)) {
            m_outlet.deliver(AnswerStalled{m_plan.number});
            lastProgress = now;
            result = ExchangeResult::Ok;
        }
        if (!batch.events.empty()) {
            co_await m_outlet.deliverAndWait(std::move(batch));
        }
    }
    // Where the connection ends the answer, an end before the first event is that of an upstream which stopped.
    const bool cutOff = splitter.insideEvent() || (!m_exchange.complete() && !m_contentDelivered);
    if (result != ExchangeResult::Ok || cutOff) {
        reportFailure(result == ExchangeResult::Ok ? ExchangeResult::Broken : result);
    } else {
        m_outlet.deliver(AnswerCompleted{m_plan.number, m_exchange.header().result_int(), {}, {}});
    }
}

ForwardAttempt::Awaitable ForwardAttempt::readWhole()
{
    AnswerCompleted answer{m_plan.number, m_exchange.header().result_int(), {}, {}};
    AnswerReservation reservation(m_context->answers, m_context->settings.limits.responseBytes);
    auto result = ExchangeResult::Ok;
    while (result == ExchangeResult::Ok && !m_exchange.ended()) {
        result = co_await m_exchange.readSome(answer.body);
        if (!reservation.resize(answer.body.size())) {
            m_exchange.abort();
            deliverFailure(AttemptFailed{ResultCode::UpstreamFailed, RetryReason::UpstreamError}, "the answer is too large");
            co_return;
        }
    }
    if (result == ExchangeResult::Ok) {
        m_outlet.deliver(std::move(answer));
    } else {
        reportFailure(result);
    }
}

void ForwardAttempt::reportFailure(ExchangeResult result)
{
    AttemptFailed failure{ResultCode::UpstreamIncomplete, RetryReason::AnswerIncomplete};
    switch (result) {
    case ExchangeResult::ConnectFailed:
        failure = {ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed};
        failure.notExecuted = true;
        deliverFailure(failure, "no connection");
        break;
    case ExchangeResult::TimedOut:
        failure = {ResultCode::UpstreamTimeout, m_headDelivered ? RetryReason::AnswerIncomplete : RetryReason::FirstTokenLate};
        deliverFailure(failure, m_headDelivered ? "the answer stopped" : "no answer in time");
        break;
    case ExchangeResult::Broken:
        // An upstream may crash at any point of the answer.
        failure.upstreamCrashed = true;
        deliverFailure(failure, "the connection ended before the answer did");
        break;
    case ExchangeResult::Malformed:
        deliverFailure(failure, "the bytes received are no answer");
        break;
    case ExchangeResult::InvalidStatus:
        failure = {ResultCode::UpstreamStatusInvalid, RetryReason::StatusInvalid};
        deliverFailure(failure, "invalid status " + std::to_string(m_exchange.header().result_int()));
        break;
    case ExchangeResult::Ok:
    case ExchangeResult::Stalled:
    case ExchangeResult::Aborted:
        break;
    }
}

void ForwardAttempt::deliverFailure(AttemptFailed failure, std::string_view cause)
{
    if (m_outlet.closed()) {
        return;
    }
    failure.answered = m_answered;
    std::string text = "attempt failed, cause=\"" + std::string(cause) + "\" upstream=" + m_plan.upstream;
    text += " attempt=" + std::to_string(m_plan.number) + " reason=" + std::string(describe(failure.reason));
    text += m_exchange.earlierRequests() > 0 ? " connection=kept" : m_exchange.sent() ? " connection=new" : " connection=-";
    text += failure.notExecuted ? " executed=no" : " executed=unknown";
    text += m_contentDelivered ? " received=content" : m_headDelivered ? " received=header" : " received=nothing";
    logEvent(LogLevel::Warning, "http:", m_plan.id, text);
    m_outlet.deliver(AnswerFailed{m_plan.number, failure});
}

} // namespace guavafield
