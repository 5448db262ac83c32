// Set-up of the request path and the blocking client.
#include "support/http/path_fixture.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/stream_parser.hpp>

#include <sys/socket.h>

namespace guavafield::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

Client::Client(const asio::ip::tcp::endpoint &endpoint, int receiveBufferBytes) : m_socket(m_io)
{
    m_socket.open(asio::ip::tcp::v4());
    if (receiveBufferBytes > 0) {
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    }
    const timeval limit{20, 0};
    ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    m_socket.connect(endpoint);
}

void Client::send(std::string_view bytes)
{
    boost::system::error_code ec;
    asio::write(m_socket, asio::buffer(bytes), ec);
}

std::optional<Client::Response> Client::read()
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code ec;
    http::read(m_socket, m_buffer, parser, ec);
    return ec ? std::nullopt : std::optional(parser.release());
}

bool Client::readUntil(std::string_view text)
{
    boost::system::error_code ec;
    std::array<char, 4096> piece{};
    while (m_raw.find(text) == std::string::npos) {
        const auto n = m_socket.read_some(asio::buffer(piece), ec);
        if (ec) {
            return false;
        }
        m_raw.append(piece.data(), n);
    }
    return true;
}

std::string Client::readAll()
{
    boost::system::error_code ec;
    std::array<char, 4096> piece{};
    while (!ec) {
        const auto n = m_socket.read_some(asio::buffer(piece), ec);
        m_raw.append(piece.data(), n);
    }
    return m_raw;
}

void Client::close()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

PathFixture::PathFixture()
{
    settings.host.id = "h1";
    settings.host.dataCentre = "dc1";
    settings.host.fleetSecret = std::string(fleetSecret);
    settings.listen.address = "127.0.0.1";
    settings.listen.callerPort = 0;
    settings.shutdown.listenerCloseDelay = Milliseconds{0};
    // Bounds the time of a failing test that waits for the end of a connection.
    settings.limits.keepAliveTimeout = Milliseconds{15'000};
    const RequestClass standard{"standard", 1, Milliseconds{10'000}, Milliseconds{60'000}};
    const RequestClass batch{"batch", 3, Milliseconds{10'000}, Milliseconds{60'000}};
    configuration.teams["acme"] = Team{"acme", "Acme", Contract{1, 1.0, {standard, batch}, false}};
    configuration.keys["k1"] = ApiKey{"k1", "acme", KeyHasher(std::string(fleetSecret)).digest(testKey), false};
    configuration.models["m"] = Model{"m", "1", 1.0, 0.1};
    hooks.usage = [this](const RequestUsage &usage) {
        const std::scoped_lock lock(m_mutex);
        m_usage.push_back(usage);
    };
}

PathFixture::~PathFixture()
{
    m_io.stop();
    for (auto &it : m_threads) {
        it.join();
    }
}

void PathFixture::addUpstream(const std::string &id, const FakeUpstream &upstream, bool engine)
{
    Upstream item;
    item.id = id;
    item.address = "127.0.0.1";
    item.port = upstream.port();
    item.dataCentre = "dc1";
    if (engine) {
        item.models = {"m"};
    }
    configuration.upstreams[id] = item;
}

void PathFixture::addService(const std::string &prefix, std::vector<UpstreamId> upstreams, bool repeatable)
{
    configuration.routes[prefix] = Route{prefix, prefix, ServiceTarget{std::move(upstreams), repeatable}, false, {}, Milliseconds{10'000}};
}

void PathFixture::start(bool withConfiguration)
{
    if (withConfiguration) {
        applyConfiguration();
    }
    m_path = std::make_shared<RequestPath>(RequestPathDependencies{m_io.get_executor(), settings, m_clock, m_counters, m_cell, hooks});
    if (confirmed) {
        m_path->configurationConfirmed(m_clock.now());
    }
    m_path->start();
    for (int n = 0; n < 2; ++n) {
        m_threads.emplace_back([this] { m_io.run(); });
    }
}

void PathFixture::applyConfiguration()
{
    ++configuration.revision;
    m_cell.store(std::make_shared<const Configuration>(configuration));
    if (m_path) {
        m_path->configurationChanged();
    }
}

Client PathFixture::connect(int receiveBufferBytes)
{
    return Client(m_path->endpoint(), receiveBufferBytes);
}

std::optional<Client::Response> PathFixture::call(std::string_view request)
{
    auto client = connect();
    client.send(request);
    return client.read();
}

std::vector<RequestUsage> PathFixture::usage()
{
    const std::scoped_lock lock(m_mutex);
    return m_usage;
}

std::string post(std::string_view path, std::string_view body, std::string_view headers)
{
    std::string text = "POST " + std::string(path) + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + std::string(testKey) + "\r\n";
    text.append(headers).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

std::string chat(bool stream, std::string_view headers, std::string_view content)
{
    const auto body = R"({"model":"m","stream":)" + std::string(stream ? "true" : "false") + R"(,"max_tokens":4,"messages":[{"role":"user","content":")"
        + std::string(content) + R"("}]})";
    return post("/v1/chat/completions", body, headers);
}

namespace {

boost::json::object errorOf(std::string_view body)
{
    const auto begin = body.find("{\"error\"");
    if (begin == std::string_view::npos) {
        return {};
    }
    boost::json::stream_parser parser;
    boost::system::error_code ec;
    parser.write_some(body.data() + begin, body.size() - begin, ec);
    return ec || !parser.done() ? boost::json::object() : parser.release().at("error").as_object();
}

} // namespace

unsigned codeOf(std::string_view body)
{
    const auto error = errorOf(body);
    return error.empty() ? 0 : error.at("guavafield_code").to_number<unsigned>();
}

bool notRun(std::string_view body)
{
    const auto error = errorOf(body);
    return !error.empty() && error.at("not_run").as_bool();
}

} // namespace guavafield::test
