// Serving of operators with Beast.
#include <guavafield/transport/http/operators/operator_server.hpp>

#include <guavafield/transport/http/callers/access.hpp>
#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/upstreams/connection_pool.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <exception>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace internal {

// Configuration changes are small; their size on the wire is bounded all the same.
constexpr std::uint64_t operatorBodyLimit = std::uint64_t{16} * 1024 * 1024;
constexpr std::size_t operatorConnectionLimit = 256;
constexpr Milliseconds operatorIdleTime{30'000};
constexpr Milliseconds operatorAcceptPause{100};

} // namespace internal

OperatorServer::OperatorServer(OperatorServerDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_hasher(m_dependencies.settings.host.fleetSecret)
    , m_acceptor(asio::make_strand(m_dependencies.executor),
                 asio::ip::tcp::endpoint(asio::ip::make_address(m_dependencies.settings.listen.address), m_dependencies.settings.listen.operatorPort))
    , m_endpoint(m_acceptor.local_endpoint())
{
}

void OperatorServer::start()
{
    asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->accept(); }, asio::detached);
}

void OperatorServer::stop()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->m_acceptor.close(ec);
    });
}

asio::awaitable<void> OperatorServer::accept()
{
    const auto self = shared_from_this();
    asio::steady_timer pause(m_acceptor.get_executor());
    while (m_acceptor.is_open()) {
        asio::ip::tcp::socket socket(asio::make_strand(m_dependencies.executor));
        boost::system::error_code ec;
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            pause.expires_after(internal::operatorAcceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (m_connections.load(std::memory_order_relaxed) < internal::operatorConnectionLimit) {
            m_connections.fetch_add(1, std::memory_order_relaxed);
            const auto strand = socket.get_executor();
            asio::co_spawn(
                strand, [self, socket = std::move(socket)]() mutable { return self->serve(std::move(socket)); }, asio::detached);
        }
    }
}

asio::awaitable<void> OperatorServer::serve(asio::ip::tcp::socket socket)
{
    const auto self = shared_from_this();
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer{maxUnparsedBytes};
    boost::system::error_code ec;
    bool another = true;
    while (another && !ec) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(internal::operatorBodyLimit);
        stream.expires_after(internal::operatorIdleTime);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
        auto reply = co_await answer(parser.get());
        http::response<http::string_body> response;
        response.version(11);
        response.result(reply.status);
        response.set(http::field::content_type, reply.contentType);
        response.keep_alive(parser.keep_alive());
        response.body() = std::move(reply.body);
        response.prepare_payload();
        another = parser.keep_alive();
        stream.expires_after(internal::operatorIdleTime);
        http::response_serializer<http::string_body> serializer(response);
        if (parser.get().method() == http::verb::head) {
            co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, ec));
        } else {
            co_await http::async_write(stream, serializer, asio::redirect_error(asio::use_awaitable, ec));
        }
    }
    m_connections.fetch_sub(1, std::memory_order_relaxed);
}

asio::awaitable<OperatorAnswer> OperatorServer::answer(const Request &request)
{
    const auto path = pathOf(std::string_view(request.target()));
    const bool isRead = request.method() == http::verb::get || request.method() == http::verb::head;
    if (path == "/healthz" && isRead) {
        co_return OperatorAnswer{200, "text/plain", "ok\n"};
    }
    if ((path == "/readyz" || path == m_dependencies.settings.listen.readyPath) && isRead) {
        co_return readiness();
    }
    if (path == "/metrics" && isRead) {
        auto text = m_dependencies.counters.format();
        if (m_dependencies.extraMetrics) {
            text += m_dependencies.extraMetrics();
        }
        co_return OperatorAnswer{200, "text/plain; version=0.0.4", std::move(text)};
    }
    auto administered = co_await administer(request);
    co_return administered;
}

asio::awaitable<OperatorAnswer> OperatorServer::administer(const Request &request)
{
    const std::string_view target = request.target();
    const auto path = pathOf(target);
    if (!path.starts_with("/admin/")) {
        co_return operatorError({ResultCode::RouteUnknown, {}, std::string(path)});
    }
    if (!authorized(request)) {
        m_dependencies.counters.addRefusal(ResultCode::OperatorTokenInvalid);
        co_return operatorError({ResultCode::OperatorTokenInvalid, {}, "Authorization"});
    }
    const auto handler = capture([&] { return m_router.find(request.method(), path); });
    if (!handler) {
        co_return operatorError(handler.error);
    }
    const auto query = target.size() > path.size() ? target.substr(path.size() + 1) : std::string_view();
    OperatorRequest call{request.method(), std::string(path), std::string(query), request.body()};
    std::string fault;
    try {
        auto result = co_await (**handler.value)(std::move(call));
        co_return result;
    } catch (const std::exception &error) {
        fault = error.what();
    }
    logEvent(LogLevel::Error, "http:", {}, "the handler of " + std::string(path) + " failed: " + fault);
    co_return OperatorAnswer{500, "text/plain", "internal error\n"};
}

OperatorAnswer OperatorServer::readiness() const
{
    const auto reasons = m_dependencies.unreadyReasons ? m_dependencies.unreadyReasons() : std::vector<std::string>();
    boost::json::array list(reasons.begin(), reasons.end());
    auto body = boost::json::serialize(boost::json::object{{"ready", reasons.empty()}, {"reasons", std::move(list)}});
    return {reasons.empty() ? 200U : 503U, "application/json", std::move(body)};
}

bool OperatorServer::authorized(const Request &request) const
{
    const auto &digest = m_dependencies.settings.operators.tokenDigest;
    const auto token = bearerToken(request);
    return digest && !token.empty() && m_hasher.matches(token, *digest);
}

} // namespace guavafield
