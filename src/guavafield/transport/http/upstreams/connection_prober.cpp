// Connecting under a time limit.
#include <guavafield/transport/http/upstreams/connection_prober.hpp>

#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/http/upstreams/engine_probe.hpp>
#include <guavafield/transport/http/upstreams/upstream_exchange.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// How often the scheduler is asked for probes.
constexpr Milliseconds probeTick{50};
// An upstream may close a connection soon on which nothing was sent.
constexpr Milliseconds unusedConnectionTime{2'000};
// A sound upstream may be silent for a second.
constexpr Milliseconds answerTime{1'500};

std::string_view nameOf(ProbeResult result) noexcept
{
    switch (result) {
    case ProbeResult::Answered:
        return "answered";
    case ProbeResult::Unanswered:
        return "unanswered";
    case ProbeResult::Refused:
        return "refused";
    case ProbeResult::Unreachable:
        return "unreachable";
    case ProbeResult::NotTried:
        break;
    }
    return "not tried";
}

ProbeResult resultOf(const boost::system::error_code &ec) noexcept
{
    if (!ec) {
        return ProbeResult::Answered;
    }
    if (ec == asio::error::connection_refused) {
        return ProbeResult::Refused;
    }
    const bool local = ec == asio::error::no_descriptors || ec == asio::error::no_buffer_space || ec == asio::error::no_memory
        || ec == boost::system::errc::address_not_available || ec == boost::system::errc::too_many_files_open_in_system;
    return local ? ProbeResult::NotTried : ProbeResult::Unreachable;
}

// Whether an answer is the upstream's own, not that of a gateway which has lost it.
bool isUpstreams(unsigned status, const AnswerFacts &facts) noexcept
{
    const bool gateway = status == 502 || status == 503 || status == 504;
    return !gateway || facts.notExecuted || facts.leaving;
}

} // namespace internal

ConnectionProber::ConnectionProber(std::shared_ptr<PathContext> context)
    : m_context(std::move(context)), m_strand(asio::make_strand(m_context->executor)), m_timer(m_strand)
{
}

void ConnectionProber::start()
{
    asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void ConnectionProber::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_stopped = true;
        self->m_timer.cancel();
    });
}

ConnectionProber::Awaitable ConnectionProber::run()
{
    const auto self = shared_from_this();
    boost::system::error_code ec;
    while (!m_stopped) {
        for (auto &it : m_context->driver->dueProbes()) {
            asio::co_spawn(
                m_strand, [self, target = std::move(it)] { return self->probe(target); }, asio::detached);
        }
        m_timer.expires_after(internal::probeTick);
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

ConnectionProber::Awaitable ConnectionProber::probe(ProbeTarget target)
{
    const auto self = shared_from_this();
    const auto endpoint = endpointOf(target.address, target.port);
    boost::system::error_code ec = asio::error::invalid_argument;
    auto connection = std::make_shared<std::unique_ptr<UpstreamConnection>>(m_context->pool.makeUnconnected());
    if (endpoint) {
        asio::steady_timer limit(m_strand, m_context->settings.upstream.tcpConnectTimeout);
        limit.async_wait([connection](const boost::system::error_code &expired) {
            if (!expired && *connection) {
                boost::system::error_code ignored;
                (*connection)->socket.close(ignored);
            }
        });
        co_await (*connection)->socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
        limit.cancel();
    }
    auto result = internal::resultOf(ec);
    std::optional<Incarnation> named;
    if (result == ProbeResult::Answered) {
        boost::system::error_code ignored;
        (*connection)->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        (*connection)->detectDeadPeer();
        (*connection)->keepAlive = internal::unusedConnectionTime;
        const auto answer = co_await ask(target, *endpoint, std::move(*connection));
        result = answer.result;
        named = answer.named;
    }
    logEvent(LogLevel::Info, "http:", {}, "connection probe, upstream=" + target.upstream + " result=" + std::string(internal::nameOf(result)));
    m_context->driver->onProbe(target.upstream, result);
    if (named && *named == target.incarnation) {
        m_context->driver->onProcessListed(target.upstream, target.incarnation);
    } else if (named && target.incarnation != 0) {
        m_context->driver->onProcessReplaced(target.upstream, target.incarnation);
    }
}

asio::awaitable<ConnectionProber::ProbeAnswer>
ConnectionProber::ask(const ProbeTarget &target, const UpstreamEndpoint &endpoint, std::unique_ptr<UpstreamConnection> connection)
{
    const auto &dialect = m_context->hooks.forward;
    if (!dialect || dialect->process.target.empty()) {
        m_context->pool.giveBack({target.upstream, endpoint}, std::move(connection));
        co_return ProbeAnswer{ProbeResult::Answered, {}};
    }
    UpstreamExchange exchange(m_context->pool, m_strand, {{target.upstream, endpoint}, {}}, {});
    exchange.adopt(std::move(connection));
    const auto asked = co_await exchange.identify(dialect->process, internal::answerTime);
    const bool answered = exchange.answered() && internal::isUpstreams(exchange.header().result_int(), dialect->readAnswer(exchange.header(), {}));
    const auto named = asked == ExchangeResult::Ok ? exchange.process().incarnation : std::nullopt;
    exchange.finish();
    co_return ProbeAnswer{answered ? ProbeResult::Answered : ProbeResult::Unanswered, named};
}

} // namespace guavafield
