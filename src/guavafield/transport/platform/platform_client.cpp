// HTTP exchanges with the platform and their mapping to replies.
#include <guavafield/transport/platform/platform_client.hpp>

#include <guavafield/protocol/platform/platform_json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <ctime>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace internal {

// Larger than any header; a chunk's extension or a trailer may have no end.
constexpr std::size_t maxUnparsedBytes = std::size_t{64} * 1024;

/*! @brief How far an exchange came. */
enum class ExchangeEnd : std::uint8_t {
    Answered,
    // No byte of the request left this host.
    NotSent,
    // The request was sent, at least in part, and its answer is missing.
    Lost,
};

struct PlatformRequest
{
    http::verb method{http::verb::get};
    std::string target;
    std::string body;
    CallUrgency urgency{CallUrgency::Rest};
    // A repeat does no harm, so a broken kept connection is no reason to fail.
    bool repeatable{false};
    std::vector<std::pair<std::string, std::string>> headers{};
    std::optional<Milliseconds> timeout{};
    std::function<bool()> stillAllowed{};
};

struct PlatformAnswer
{
    ExchangeEnd end{ExchangeEnd::NotSent};
    unsigned status{0};
    std::string body;
    std::uint64_t epoch{0};

    // The platform answered and did not refuse for its limits or an outage.
    [[nodiscard]] bool served() const noexcept
    {
        return end == ExchangeEnd::Answered && status != 429 && status != 503;
    }
};

struct Connection
{
    explicit Connection(const asio::any_io_executor &executor) : stream(executor) { }

    beast::tcp_stream stream;
    SteadyTime usedAt{};
};

/*! @brief Returns whether a kept connection is still open and has nothing to read. */
bool isUsable(beast::tcp_stream &stream)
{
    beast::error_code ec;
    auto &socket = stream.socket();
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block || ec == asio::error::try_again;
}

std::optional<WallTime> parseHttpDate(const std::string &text)
{
    std::tm parts{};
    if (strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts) == nullptr) {
        return std::nullopt;
    }
    return std::chrono::system_clock::from_time_t(timegm(&parts));
}

Error callError(const PlatformAnswer &answer, const std::string &target)
{
    if (answer.end == ExchangeEnd::Lost) {
        return {ResultCode::PlatformOutcomeUnknown, "the platform's answer was lost", target};
    }
    if (!answer.served()) {
        return {ResultCode::PlatformUnavailable, answer.status == 0 ? "the platform cannot be reached" : "the platform refuses calls", target};
    }
    if (answer.status == 409) {
        return {ResultCode::OrderFenced, answer.body, target};
    }
    return {ResultCode::PlatformAnswerInvalid, "the platform answered with status " + std::to_string(answer.status), target};
}

Outcome<std::string> toOutcome(PlatformAnswer answer, const std::string &target)
{
    if (answer.served() && answer.status >= 200 && answer.status < 300) {
        return {std::move(answer.body), {}};
    }
    return {std::nullopt, callError(answer, target)};
}

Outcome<bool> toDone(const Outcome<std::string> &outcome)
{
    return outcome ? Outcome<bool>{true, {}} : Outcome<bool>{std::nullopt, outcome.error};
}

CallUrgency urgencyOfObject(std::string_view name) noexcept
{
    return name.starts_with("config-") ? CallUrgency::Configuration : CallUrgency::Rest;
}

// Returns 0 for a value that is no number.
std::uint64_t parseEpoch(std::string_view text) noexcept
{
    std::uint64_t epoch = 0;
    std::from_chars(text.data(), text.data() + text.size(), epoch);
    return epoch;
}

TransactionReply toTransactionReply(const PlatformAnswer &answer, const Transaction &transaction)
{
    if (answer.end == ExchangeEnd::Lost) {
        return TransactionUnknown{};
    }
    // A request that the service finds faulty is answered with another 4xx and has no effect.
    const bool decided = answer.status == 200 || answer.status == 409;
    if (!answer.served() || (!decided && answer.status >= 400 && answer.status < 500)) {
        return TransactionRejected{};
    }
    if (!decided) {
        return TransactionUnknown{};
    }
    auto reply = capture([&] { return parseTransactionReply(answer.body, transaction); });
    return reply ? std::move(*reply.value) : TransactionReply{TransactionUnknown{}};
}

} // namespace internal

/*! @brief State of a client; all members but the platform's time are used on the strand only. */
class PlatformClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(const asio::any_io_executor &executor, std::string address, std::uint16_t port, Counters &counters, PlatformClientSettings settings)
        : strand(asio::make_strand(executor))
        , m_address(std::move(address))
        , m_port(port)
        , m_counters(counters)
        , m_settings(std::move(settings))
        , m_limiter(m_settings.limits)
        , m_pumpTimer(strand)
    {
    }

    Awaitable<internal::PlatformAnswer> run(internal::PlatformRequest request);
    [[nodiscard]] std::optional<WallTime> platformTime() const;

    asio::strand<asio::any_io_executor> strand;

private:
    using ConnectionPointer = std::unique_ptr<internal::Connection>;

    /*! @brief Keeps a started call counted as running until it ends, however it ends. */
    struct Turn
    {
        Turn(Impl &owner, CallLimiter::CallId call) : impl(owner), id(call) { }
        ~Turn()
        {
            impl.endTurn(*this);
        }
        Turn(const Turn &) = delete;
        Turn &operator=(const Turn &) = delete;

        Impl &impl;
        CallLimiter::CallId id;
        bool started{false};
        bool served{false};
    };

    Awaitable<bool> awaitTurn(Turn &turn, CallUrgency urgency, SteadyTime deadline);
    Awaitable<internal::PlatformAnswer> exchange(const internal::PlatformRequest &request, SteadyTime deadline);
    Awaitable<internal::PlatformAnswer> exchangeOn(ConnectionPointer connection, const internal::PlatformRequest &request, SteadyTime deadline);
    Awaitable<ConnectionPointer> connect(SteadyTime deadline);
    ConnectionPointer takeIdle();
    void endTurn(const Turn &turn);
    void pump();
    void noteDate(std::string_view date);

    std::string m_address;
    std::uint16_t m_port;
    Counters &m_counters;
    PlatformClientSettings m_settings;
    CallLimiter m_limiter;
    asio::steady_timer m_pumpTimer;
    CallLimiter::CallId m_lastCall{0};
    std::map<CallLimiter::CallId, asio::steady_timer *> m_waiting;
    std::vector<ConnectionPointer> m_idle;

    mutable std::mutex m_timeMutex;
    // Platform's time less this host's steady time, by the latest answer; guarded by m_timeMutex.
    std::optional<WallTime::duration> m_timeOffset;
};

auto PlatformClient::Impl::run(internal::PlatformRequest request) -> Awaitable<internal::PlatformAnswer>
{
    const auto self = shared_from_this();
    const auto deadline = std::chrono::steady_clock::now() + request.timeout.value_or(m_settings.timeout);
    internal::PlatformAnswer answer;
    Turn turn(*this, ++m_lastCall);
    const bool started = co_await awaitTurn(turn, request.urgency, deadline);
    if (started) {
        answer = co_await exchange(request, deadline);
        turn.served = answer.served();
    }
    if (!answer.served()) {
        m_counters.add(CounterId::PlatformFailures);
    }
    co_return answer;
}

auto PlatformClient::Impl::awaitTurn(Turn &turn, CallUrgency urgency, SteadyTime deadline) -> Awaitable<bool>
{
    if (m_limiter.allowedFrom(urgency) >= deadline) {
        co_return false;
    }
    asio::steady_timer timer(strand, deadline);
    m_limiter.submit(turn.id, urgency);
    m_waiting.emplace(turn.id, &timer);
    pump();
    if (m_waiting.contains(turn.id)) {
        beast::error_code ec;
        auto token = asio::redirect_error(asio::use_awaitable, ec);
        co_await timer.async_wait(token);
    }
    turn.started = m_waiting.erase(turn.id) == 0;
    if (!turn.started) {
        m_limiter.withdraw(turn.id);
    }
    co_return turn.started;
}

void PlatformClient::Impl::endTurn(const Turn &turn)
{
    m_waiting.erase(turn.id);
    if (turn.started) {
        m_limiter.finish(turn.served, std::chrono::steady_clock::now());
        pump();
    }
}

void PlatformClient::Impl::pump()
{
    const auto now = std::chrono::steady_clock::now();
    while (const auto id = m_limiter.start(now)) {
        const auto it = m_waiting.find(*id);
        it->second->cancel();
        m_waiting.erase(it);
    }
    if (const auto next = m_limiter.nextStart(now)) {
        m_pumpTimer.expires_at(*next);
        m_pumpTimer.async_wait([weak = weak_from_this()](beast::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->pump();
            }
        });
    }
}

auto PlatformClient::Impl::exchange(const internal::PlatformRequest &request, SteadyTime deadline) -> Awaitable<internal::PlatformAnswer>
{
    auto idle = takeIdle();
    if (idle) {
        auto answer = co_await exchangeOn(std::move(idle), request, deadline);
        const bool repeat = request.repeatable && answer.end == internal::ExchangeEnd::Lost && std::chrono::steady_clock::now() < deadline;
        if (!repeat) {
            co_return answer;
        }
    }
    auto fresh = co_await connect(deadline);
    if (!fresh) {
        co_return internal::PlatformAnswer{};
    }
    auto answer = co_await exchangeOn(std::move(fresh), request, deadline);
    co_return answer;
}

auto PlatformClient::Impl::connect(SteadyTime deadline) -> Awaitable<ConnectionPointer>
{
    auto connection = std::make_unique<internal::Connection>(strand);
    beast::error_code ec;
    const auto address = asio::ip::make_address(m_address, ec);
    if (ec) {
        co_return nullptr;
    }
    const asio::ip::tcp::endpoint endpoint(address, m_port);
    connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + m_settings.connectTimeout));
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    co_await connection->stream.async_connect(endpoint, token);
    if (ec) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    if (m_settings.resetOnClose) {
        connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    }
    co_return connection;
}

auto PlatformClient::Impl::exchangeOn(ConnectionPointer connection, const internal::PlatformRequest &request, SteadyTime deadline)
    -> Awaitable<internal::PlatformAnswer>
{
    http::request<http::string_body> message(request.method, request.target, 11, request.body);
    message.set(http::field::host, m_address);
    message.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.prepare_payload();

    if (request.stillAllowed && !request.stillAllowed()) {
        co_return internal::PlatformAnswer{};
    }
    internal::PlatformAnswer answer{internal::ExchangeEnd::Lost, 0, {}, 0};
    beast::error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    connection->stream.expires_at(deadline);
    co_await http::async_write(connection->stream, message, token);
    if (ec) {
        m_idle.clear();
        co_return answer;
    }
    beast::flat_buffer buffer{internal::maxUnparsedBytes};
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_settings.maxAnswerBytes);
    co_await http::async_read(connection->stream, buffer, parser, token);
    if (ec) {
        // Others that were opened as early may have gone silent as well.
        m_idle.clear();
        co_return answer;
    }
    auto response = parser.release();
    const auto epoch = m_settings.epochHeader.empty() ? 0 : internal::parseEpoch(response[m_settings.epochHeader]);
    answer = {internal::ExchangeEnd::Answered, response.result_int(), std::move(response.body()), epoch};
    noteDate(response[http::field::date]);
    if (response.keep_alive() && buffer.size() == 0) {
        connection->stream.expires_never();
        connection->usedAt = std::chrono::steady_clock::now();
        m_idle.push_back(std::move(connection));
    }
    co_return answer;
}

auto PlatformClient::Impl::takeIdle() -> ConnectionPointer
{
    const auto now = std::chrono::steady_clock::now();
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (now - connection->usedAt < m_settings.idleTimeout && internal::isUsable(connection->stream)) {
            return connection;
        }
    }
    return nullptr;
}

void PlatformClient::Impl::noteDate(std::string_view date)
{
    const auto time = internal::parseHttpDate(std::string(date));
    if (!time) {
        return;
    }
    const std::scoped_lock lock(m_timeMutex);
    const auto steady = std::chrono::duration_cast<WallTime::duration>(std::chrono::steady_clock::now().time_since_epoch());
    m_timeOffset = time->time_since_epoch() - steady;
}

std::optional<WallTime> PlatformClient::Impl::platformTime() const
{
    const std::scoped_lock lock(m_timeMutex);
    if (!m_timeOffset) {
        return std::nullopt;
    }
    const auto steady = std::chrono::duration_cast<WallTime::duration>(std::chrono::steady_clock::now().time_since_epoch());
    return WallTime{steady + *m_timeOffset};
}

PlatformClient::PlatformClient(
    const asio::any_io_executor &executor, std::string address, std::uint16_t port, Counters &counters, PlatformClientSettings settings)
    : m_impl(std::make_shared<Impl>(executor, std::move(address), port, counters, std::move(settings))), m_counters(counters)
{
}

PlatformClient::~PlatformClient() = default;

auto PlatformClient::exchange(internal::PlatformRequest request) -> Awaitable<internal::PlatformAnswer>
{
    const auto impl = m_impl;
    m_counters.add(request.repeatable ? CounterId::PlatformReads : CounterId::PlatformWrites);
    auto work = impl->run(std::move(request));
    auto answer = co_await asio::co_spawn(impl->strand, std::move(work), asio::use_awaitable);
    co_return answer;
}

auto PlatformClient::transact(Transaction transaction) -> Awaitable<TransactionReply>
{
    auto body = capture([&] { return formatTransaction(transaction); });
    if (!body) {
        co_return TransactionRejected{};
    }
    const auto urgency = transaction.writes.empty() ? CallUrgency::Rest : urgencyOfTable(transaction.writes.front().key.table);
    internal::PlatformRequest request{http::verb::post, "/table/transact", std::move(*body.value), urgency, false};
    const auto answer = co_await exchange(std::move(request));
    co_return internal::toTransactionReply(answer, transaction);
}

auto PlatformClient::read(std::vector<RowKey> keys) -> Awaitable<ReadReply>
{
    const auto urgency = keys.empty() ? CallUrgency::Rest : urgencyOfTable(keys.front().table);
    internal::PlatformRequest request{http::verb::post, "/table/read", formatReadRequest(keys), urgency, true};
    const auto answer = co_await exchange(std::move(request));
    if (answer.status != 200) {
        co_return ReadFailed{};
    }
    auto rows = capture([&] { return parseReadReply(answer.body, keys); });
    co_return rows ? ReadReply{std::move(*rows.value)} : ReadReply{ReadFailed{}};
}

auto PlatformClient::scan(ScanRange range) -> Awaitable<ReadReply>
{
    internal::PlatformRequest request{http::verb::post, "/table/scan", formatScanRequest(range), urgencyOfTable(range.table), true};
    const auto answer = co_await exchange(std::move(request));
    if (answer.status != 200) {
        co_return ReadFailed{};
    }
    auto rows = capture([&] { return parseScanReply(answer.body, range); });
    co_return rows ? ReadReply{std::move(*rows.value)} : ReadReply{ReadFailed{}};
}

auto PlatformClient::getObject(std::string name) -> Awaitable<Outcome<std::string>>
{
    internal::PlatformRequest request{http::verb::get, "/objects/" + name, {}, internal::urgencyOfObject(name), true};
    auto answer = co_await exchange(std::move(request));
    if (answer.status == 404) {
        co_return Outcome<std::string>{std::nullopt, {ResultCode::PlatformObjectUnknown, "the object store has no such object", name}};
    }
    co_return internal::toOutcome(std::move(answer), name);
}

auto PlatformClient::putObject(std::string name, std::string body) -> Awaitable<Outcome<bool>>
{
    internal::PlatformRequest request{http::verb::put, "/objects/" + name, std::move(body), internal::urgencyOfObject(name), false};
    auto answer = co_await exchange(std::move(request));
    co_return internal::toDone(internal::toOutcome(std::move(answer), name));
}

auto PlatformClient::deleteObject(std::string name) -> Awaitable<Outcome<bool>>
{
    internal::PlatformRequest request{http::verb::delete_, "/objects/" + name, {}, internal::urgencyOfObject(name), false};
    auto answer = co_await exchange(std::move(request));
    if (answer.status == 404) {
        co_return Outcome<bool>{true, {}};
    }
    co_return internal::toDone(internal::toOutcome(std::move(answer), name));
}

auto PlatformClient::call(std::string method, std::string target, std::string body, CallUrgency urgency) -> Awaitable<Outcome<std::string>>
{
    const auto verb = http::string_to_verb(method);
    internal::PlatformRequest request{verb, target, std::move(body), urgency, verb == http::verb::get};
    auto answer = co_await exchange(std::move(request));
    co_return internal::toOutcome(std::move(answer), target);
}

auto PlatformClient::exchange(PlatformCall call) -> Awaitable<PlatformReply>
{
    const auto verb = http::string_to_verb(call.method);
    internal::PlatformRequest request{verb, std::move(call.target), std::move(call.body), call.urgency, verb == http::verb::get};
    request.headers = std::move(call.headers);
    request.timeout = call.timeout;
    request.stillAllowed = std::move(call.stillAllowed);
    auto answer = co_await exchange(std::move(request));
    co_return PlatformReply{answer.status, std::move(answer.body), answer.epoch, answer.end == internal::ExchangeEnd::Lost};
}

std::optional<WallTime> PlatformClient::platformTime() const
{
    return m_impl->platformTime();
}

} // namespace guavafield
