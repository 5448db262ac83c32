// Reading of requests with their limits, and their way to a model or a service.
#include <guavafield/transport/http/callers/caller_connection.hpp>

#include <guavafield/transport/http/forwarding/forward_request.hpp>
#include <guavafield/transport/http/forwarding/model_request.hpp>
#include <guavafield/transport/http/forwarding/relay_headers.hpp>
#include <guavafield/transport/http/forwarding/service_request.hpp>
#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace internal {

// Holds a place among the requests in flight.
class PlaceGuard
{
public:
    explicit PlaceGuard(RequestPlaces &places) : m_places(&places), m_held(places.take()) { }
    PlaceGuard(const PlaceGuard &) = delete;
    PlaceGuard &operator=(const PlaceGuard &) = delete;
    ~PlaceGuard()
    {
        if (m_held) {
            m_places->release();
        }
    }
    [[nodiscard]] bool held() const noexcept
    {
        return m_held;
    }

private:
    RequestPlaces *m_places;
    bool m_held;
};

ResultCode codeOfReadError(const boost::system::error_code &ec, bool timedOut) noexcept
{
    if (timedOut) {
        return ResultCode::RequestTimeout;
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return ResultCode::RequestHeaderTooLarge;
    }
    return ec == http::error::body_limit ? ResultCode::RequestBodyTooLarge : ResultCode::RequestMalformed;
}

// A refused request with a small body is read to its end, so that the caller can keep the connection.
bool smallBody(const http::request_parser<http::string_body> &parser)
{
    constexpr std::uint64_t smallBodyBytes = std::uint64_t{64} * 1024;
    const auto length = parser.content_length();
    return parser.is_done() || (length && *length <= smallBodyBytes);
}

ErrorReply replyOf(Error error)
{
    ErrorReply reply;
    reply.code = error.code;
    reply.detail = std::move(error.message);
    if (!error.place.empty()) {
        reply.detail += (reply.detail.empty() ? "" : ", ") + std::string("at ") + error.place;
    }
    return reply;
}

bool connectionEnded(const boost::system::error_code &ec) noexcept
{
    return ec == http::error::end_of_stream || ec == http::error::partial_message || ec.category() == asio::error::get_system_category()
        || ec == asio::error::eof;
}

} // namespace internal

CallerConnection::CallerConnection(std::shared_ptr<PathContext> context, asio::ip::tcp::socket socket)
    : m_context(std::move(context))
    , m_stream(
          std::make_shared<CallerStream>(std::move(socket), m_context->settings.limits.writeTimeout, maxUnparsedBytes + m_context->callerLimits().headerBytes))
{
    noteArrival();
}

asio::awaitable<void> CallerConnection::run()
{
    const auto self = shared_from_this();
    while (m_stream->socket().is_open()) {
        const bool arrived = co_await waitForRequest();
        if (!arrived) {
            break;
        }
        m_idle = false;
        const bool another = co_await serveOne();
        m_idle = true;
        if (!another) {
            break;
        }
    }
    m_stream->close();
}

asio::awaitable<void> CallerConnection::refuse(ResultCode code)
{
    const auto self = shared_from_this();
    CallerAnswer answer(m_context, m_stream, m_context->makeRequestId(), false, false);
    Error error{code, {}, {}};
    co_await refuseUnread(answer, std::move(error));
}

void CallerConnection::closeIfIdle()
{
    asio::post(m_stream->socket().get_executor(), [self = shared_from_this()] {
        // A request that has arrived but was not seen yet is answered.
        if (self->m_idle && self->m_stream->buffer().size() == 0 && peek(self->m_stream->socket()) != PeekResult::Bytes) {
            self->m_stream->close();
        }
    });
}

std::optional<SteadyTime> CallerConnection::silentSince() const noexcept
{
    if (m_running.load(std::memory_order_acquire)) {
        return std::nullopt;
    }
    return SteadyTime{SteadyTime::duration{m_arrivedAt.load(std::memory_order_acquire)}};
}

void CallerConnection::evict()
{
    asio::post(m_stream->socket().get_executor(), [self = shared_from_this()] {
        if (!self->m_running.load(std::memory_order_acquire)) {
            self->m_context->counters->add(CounterId::ConnectionsEvicted);
            self->m_stream->close();
        }
    });
}

void CallerConnection::noteArrival() noexcept
{
    m_arrivedAt.store(m_context->clock->now().time_since_epoch().count(), std::memory_order_release);
}

asio::awaitable<bool> CallerConnection::waitForRequest()
{
    if (m_stream->buffer().size() > 0) {
        co_return true;
    }
    m_stream->startTimer(m_context->callerLimits().idleTime);
    boost::system::error_code ec;
    co_await m_stream->socket().async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    co_return !m_stream->clearTimer() && !ec;
}

asio::awaitable<bool> CallerConnection::serveOne()
{
    Parser parser;
    const auto limits = m_context->callerLimits();
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    noteArrival();
    m_stream->startTimer(limits.headerTime);
    const auto header = co_await readHeader(parser);
    const bool late = m_stream->clearTimer();
    noteArrival();
    if (!header) {
        co_await refuse(ResultCode::TooManyConnections);
        co_return false;
    }
    const auto ec = *header;
    m_received = std::chrono::steady_clock::now();
    const auto id = m_context->makeRequestId();
    const bool headOnly = parser.get().method() == http::verb::head;
    if (ec) {
        if (late || !internal::connectionEnded(ec)) {
            CallerAnswer answer(m_context, m_stream, id, false, headOnly);
            Error error{internal::codeOfReadError(ec, late), ec.message(), {}};
            co_await refuseUnread(answer, std::move(error));
        }
        co_return false;
    }
    m_context->counters->add(CounterId::RequestsReceived);
    const auto callersId = callerRequestId(parser.get(), m_context->hooks.forward ? m_context->hooks.forward->requestIdHeader : requestIdHeader);
    CallerAnswer answer(m_context, m_stream, callersId.empty() ? id : std::string(callersId), parser.keep_alive(), headOnly);
    if (const auto fault = framingFault(parser.get()); !fault.empty()) {
        Error error{ResultCode::RequestMalformed, std::string(fault), {}};
        co_await refuseUnread(answer, std::move(error));
        co_return false;
    }
    co_await handle(parser, answer, id);
    m_running.store(false, std::memory_order_release);
    noteArrival();
    if (m_stream->buffer().size() == 0) {
        m_stream->buffer().shrink_to_fit();
    }
    co_return answer.keepAlive() && m_stream->socket().is_open();
}

asio::awaitable<std::optional<boost::system::error_code>> CallerConnection::readHeader(Parser &parser)
{
    const internal::PlaceGuard place(m_context->headers);
    if (!place.held()) {
        co_return std::nullopt;
    }
    boost::system::error_code ec;
    m_headerBytes = co_await http::async_read_header(m_stream->socket(), m_stream->buffer(), parser, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec;
}

std::uint64_t CallerConnection::costOf(Parser &parser) const
{
    constexpr std::uint64_t copies = 2;
    return copies * (m_headerBytes + parser.get().body().size()) + m_stream->buffer().capacity();
}

asio::awaitable<void> CallerConnection::handle(Parser &parser, CallerAnswer &answer, const RequestId &id)
{
    const internal::PlaceGuard place(m_context->places);
    Outcome<AccessGrant> grant;
    if (m_context->refusing.load(std::memory_order_acquire)) {
        grant.error = Error{ResultCode::HostStopping, {}, {}};
    } else if (!place.held()) {
        grant.error = Error{ResultCode::TooManyStreams, {}, {}};
    } else {
        grant = capture([&] { return m_context->hooks.forward ? grantForward(*m_context, parser.get()) : grantAccess(*m_context, parser.get()); });
    }
    if (!grant && !internal::smallBody(parser)) {
        co_await refuseUnread(answer, std::move(grant.error));
        co_return;
    }
    HeldRequest held(
        m_context->requests,
        [this] {
            m_uploadEnded.store(true, std::memory_order_release);
            asio::post(m_stream->socket().get_executor(), [self = shared_from_this()] { self->m_stream->cancel(); });
        },
        m_context->clock->now());
    const bool read = co_await readBody(parser, answer, held);
    held.onReceived();
    if (!read) {
        co_return;
    }
    m_running.store(true, std::memory_order_release);
    if (m_context->refusing.load(std::memory_order_acquire)) {
        // The body may have taken so long that the answer would be cut at the end of the stop.
        grant = {};
        grant.error = Error{ResultCode::HostStopping, {}, {}};
    }
    if (!grant) {
        auto reply = internal::replyOf(std::move(grant.error));
        std::ignore = co_await answer.sendError(std::move(reply));
        co_return;
    }
    co_await dispatch(parser, answer, id, std::move(*grant.value));
}

asio::awaitable<bool> CallerConnection::readBody(Parser &parser, CallerAnswer &answer, HeldRequest &held)
{
    if (!parser.is_done() && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const bool written = co_await m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        if (!written) {
            answer.closeAfterwards();
            co_return false;
        }
    }
    m_stream->startTimer(m_context->settings.limits.requestTimeout);
    boost::system::error_code ec;
    m_uploadEnded.store(false, std::memory_order_release);
    // What a read brings is counted before another connection of this thread reads on.
    bool room = held.resize(costOf(parser), m_context->clock->now());
    while (room && !ec && !parser.is_done()) {
        co_await http::async_read_some(m_stream->socket(), m_stream->buffer(), parser, asio::redirect_error(asio::use_awaitable, ec));
        noteArrival();
        room = held.resize(costOf(parser), m_context->clock->now());
    }
    const bool late = m_stream->clearTimer();
    const bool ended = m_uploadEnded.load(std::memory_order_acquire) && !parser.is_done();
    if (room && !ec && !ended) {
        co_return true;
    }
    answer.closeAfterwards();
    if (!room || ended) {
        std::string().swap(parser.get().body());
        std::ignore = held.resize(0, m_context->clock->now());
        m_context->counters->add(CounterId::UploadsEnded, ended ? 1 : 0);
        Error error{ResultCode::BodyMemoryExhausted, {}, {}};
        co_await refuseUnread(answer, std::move(error));
        co_return false;
    }
    if (late || !internal::connectionEnded(ec)) {
        Error error{internal::codeOfReadError(ec, late), ec.message(), {}};
        co_await refuseUnread(answer, std::move(error));
    }
    co_return false;
}

asio::awaitable<void> CallerConnection::refuseUnread(CallerAnswer &answer, Error error)
{
    answer.closeAfterwards();
    auto reply = internal::replyOf(std::move(error));
    const bool written = co_await answer.sendError(std::move(reply));
    if (written) {
        co_await m_stream->closeGracefully();
    }
}

asio::awaitable<void> CallerConnection::dispatch(Parser &parser, CallerAnswer &answer, const RequestId &id, AccessGrant grant)
{
    if (std::holds_alternative<ModelList>(grant.target)) {
        co_await listModels(answer, grant);
        co_return;
    }
    const auto key = grant.key;
    const auto mailbox = std::make_shared<Mailbox>(m_stream->socket().get_executor());
    mailbox->setUrgentHandler([stream = m_stream.get()] { stream->hurryWrite(); });
    // The key may have been withdrawn since it was checked, before anyone knew of this request.
    const bool registered = m_context->keys.add(key, mailbox);
    if (!registered || !(key.empty() || KeyRegistry::inForce(*m_context->currentConfiguration(), key))) {
        ErrorReply reply;
        reply.code = ResultCode::KeyWithdrawn;
        std::ignore = co_await answer.sendError(std::move(reply));
    } else {
        m_stream->watch(mailbox);
        if (std::holds_alternative<ForwardCall>(grant.target)) {
            co_await runForwardCall(parser, answer, id, std::move(grant), mailbox);
        } else if (const auto *call = std::get_if<ModelCall>(&grant.target)) {
            const auto endpoint = call->endpoint;
            co_await runModelCall(parser, answer, id, std::move(grant), endpoint, mailbox);
        } else {
            co_await runServiceCall(parser, answer, id, std::move(grant), mailbox);
        }
        m_stream->endWatch();
    }
    mailbox->setUrgentHandler({});
    m_context->keys.remove(key, mailbox);
}

asio::awaitable<void> CallerConnection::runModelCall(
    Parser &parser, CallerAnswer &answer, const RequestId &id, AccessGrant grant, ModelEndpoint endpoint, std::shared_ptr<Mailbox> mailbox)
{
    auto &message = parser.get();
    auto chat = capture([&] { return parseChatRequest(endpoint, message.body()); });
    if (chat && !grant.configuration->models.contains(chat.value->model)) {
        chat = {std::nullopt, Error{ResultCode::ModelUnknown, {}, chat.value->model}};
    }
    if (chat && chat.value->stream && message.version() < 11) {
        // Without chunks the end of the connection would look like the end of the answer.
        chat = {std::nullopt, Error{ResultCode::RequestMalformed, "streams need HTTP/1.1", {}}};
    }
    if (!chat) {
        auto reply = internal::replyOf(std::move(chat.error));
        std::ignore = co_await answer.sendError(std::move(reply));
        co_return;
    }
    ModelRequestPlan plan;
    plan.chat = std::move(*chat.value);
    copyRequestHeaders(message, bearerToken(message), plan.headers);
    plan.id = id;
    plan.fingerprint = m_context->hasher.digest(grant.team->id + "\n" + message.body());
    const auto limit = m_context->settings.limits.responseTimeout;
    plan.deadline = std::chrono::steady_clock::now() + (grant.timeout.count() > 0 ? std::min(grant.timeout, limit) : limit);
    plan.grant = std::move(grant);
    ModelRequest request(m_context, m_stream->socket().get_executor(), answer, std::move(mailbox), std::move(plan));
    co_await request.run();
}

asio::awaitable<void>
CallerConnection::runForwardCall(Parser &parser, CallerAnswer &answer, const RequestId &id, AccessGrant grant, std::shared_ptr<Mailbox> mailbox)
{
    auto &message = parser.get();
    ForwardPlan plan;
    plan.id = id;
    plan.received = m_received;
    plan.fingerprint =
        m_context->hasher.digest((grant.team != nullptr ? grant.team->id : TeamId()) + "\n" + std::string(message.target()) + "\n" + message.body());
    plan.method = message.method_string();
    plan.target = message.target();
    plan.relayed = relayedRevision(message).has_value();
    if (plan.relayed) {
        m_context->counters->add(CounterId::RelayedRequestsReceived);
    }
    plan.headers = std::move(static_cast<boost::beast::http::fields &>(message));
    plan.body = std::move(message.body());
    plan.grant = std::move(grant);
    ForwardRequest request(m_context, m_stream->socket().get_executor(), answer, std::move(mailbox), std::move(plan));
    co_await request.run();
}

asio::awaitable<void>
CallerConnection::runServiceCall(Parser &parser, CallerAnswer &answer, const RequestId &id, AccessGrant grant, std::shared_ptr<Mailbox> mailbox)
{
    auto &message = parser.get();
    ServiceCallPlan plan;
    plan.grant = std::move(grant);
    plan.id = id;
    plan.idempotencyKey = std::string(message["Idempotency-Key"]);
    plan.request.method_string(message.method_string());
    plan.request.target(message.target());
    copyRequestHeaders(message, bearerToken(message), plan.request);
    plan.request.set(requestIdHeader, id);
    plan.request.body() = std::move(message.body());
    plan.request.prepare_payload();
    co_await serveCall(m_context, m_stream->socket().get_executor(), answer, std::move(mailbox), std::move(plan));
}

asio::awaitable<void> CallerConnection::listModels(CallerAnswer &answer, const AccessGrant &grant)
{
    boost::json::array models;
    for (const auto &[id, model] : grant.configuration->models) {
        models.push_back(boost::json::object{{"id", id}, {"object", "model"}, {"version", model.version}});
    }
    ServiceAnswer list;
    list.headers.emplace_back("Content-Type", "application/json");
    list.body = boost::json::serialize(boost::json::object{{"object", "list"}, {"data", std::move(models)}});
    const bool written = co_await answer.sendWhole(list);
    m_context->counters->add(written ? CounterId::RequestsCompleted : CounterId::RequestsAbandonedByCaller);
}

} // namespace guavafield
