// GET requests to engines' control paths.
#include <guavafield/transport/http/upstreams/engine_probe.hpp>

#include <guavafield/protocol/chat/engine_report.hpp>
#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>

#include <boost/asio/ip/address.hpp>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

constexpr std::size_t controlAnswerLimit = std::size_t{1} << 20U;
// An engine that runs answers within milliseconds; a crashed one refuses the connection.
constexpr Milliseconds controlTime{500};

} // namespace internal

void EngineIncarnations::set(std::string_view upstream, Incarnation incarnation)
{
    const std::scoped_lock lock(m_mutex);
    m_known.insert_or_assign(std::string(upstream), incarnation);
}

Incarnation EngineIncarnations::incarnation(std::string_view upstream) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_known.find(upstream);
    return it == m_known.end() ? 0 : it->second;
}

asio::awaitable<std::optional<std::string>>
getControl(std::shared_ptr<PathContext> context, asio::any_io_executor strand, ConnectionTarget engine, std::string path)
{
    UpstreamRequest request(boost::beast::http::verb::get, path, 11);
    request.set(boost::beast::http::field::host, engine.endpoint.address().to_string());
    const auto id = context->makeRequestId();
    request.set(requestIdHeader, id);
    UpstreamExchange exchange(context->pool, strand, {std::move(engine), id}, ExchangeTimes{internal::controlTime, internal::controlTime});
    auto result = co_await exchange.send(request, false);
    if (result == ExchangeResult::Ok) {
        result = co_await exchange.readHeader();
    }
    if (result == ExchangeResult::Ok && answersAnother(exchange.header(), id)) {
        result = ExchangeResult::Malformed;
        exchange.abort();
    }
    std::string body;
    while (result == ExchangeResult::Ok && !exchange.ended() && body.size() <= internal::controlAnswerLimit) {
        result = co_await exchange.readSome(body);
    }
    const bool whole = result == ExchangeResult::Ok && exchange.complete() && exchange.header().result_int() == 200;
    exchange.finish();
    co_return whole ? std::optional(std::move(body)) : std::nullopt;
}

asio::awaitable<bool> hasCrashed(std::shared_ptr<PathContext> context, asio::any_io_executor strand, ConnectionTarget engine, Incarnation known)
{
    const auto body = co_await getControl(context, strand, std::move(engine), "/control/load");
    if (!body) {
        co_return true;
    }
    const auto report = capture([&] { return parseLoadReport(*body); });
    co_return report &&known != 0 && report.value->incarnation != known;
}

std::optional<UpstreamEndpoint> endpointOf(std::string_view address, std::uint16_t port)
{
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(std::string(address), ec);
    return ec ? std::nullopt : std::optional(UpstreamEndpoint(ip, port));
}

} // namespace guavafield
