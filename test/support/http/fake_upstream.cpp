// Blocking sockets and threads of the fake upstream.
#include "support/http/fake_upstream.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace guavafield::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds failingTime{20};

} // namespace

void Signal::set()
{
    const std::scoped_lock lock(m_mutex);
    m_set = true;
    m_changed.notify_all();
}

bool Signal::wait()
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, failingTime, [this] { return m_set; });
}

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + failingTime;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

bool FakeCall::send(std::string_view bytes)
{
    boost::system::error_code ec;
    asio::write(m_socket, asio::buffer(bytes), ec);
    return !ec;
}

bool FakeCall::reply(unsigned status, std::string_view body, std::string_view headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\n";
    text.append(headers).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return send(text);
}

bool FakeCall::beginStream()
{
    return send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
}

bool FakeCall::event(std::string_view data)
{
    const auto event = "data: " + std::string(data) + "\n\n";
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return send(size.data() + event + "\r\n");
}

bool FakeCall::token(unsigned n)
{
    return event(tokenChunk(n));
}

bool FakeCall::endStream()
{
    return event("[DONE]") && send("0\r\n\r\n");
}

bool FakeCall::writable(std::chrono::milliseconds time)
{
    pollfd entry{m_socket.native_handle(), POLLOUT, 0};
    return ::poll(&entry, 1, static_cast<int>(time.count())) > 0;
}

std::size_t FakeCall::receive(std::size_t bytes)
{
    std::array<char, 16384> piece{};
    boost::system::error_code ec;
    std::size_t received = 0;
    while (!ec && received < bytes) {
        received += m_socket.read_some(asio::buffer(piece.data(), std::min(piece.size(), bytes - received)), ec);
    }
    return received;
}

bool FakeCall::waitForClose()
{
    std::array<char, 1024> scratch{};
    boost::system::error_code ec;
    while (!ec) {
        m_socket.read_some(asio::buffer(scratch), ec);
    }
    return true;
}

void FakeCall::losePackets(bool lose)
{
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    const auto handle = m_socket.native_handle();
    if (lose) {
        ::setsockopt(handle, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
    } else {
        const int unused = 0;
        ::setsockopt(handle, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    }
}

void FakeCall::endSending()
{
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void FakeCall::drop()
{
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
}

void FakeCall::reset()
{
    // Leaves the socket open, as other threads of the upstream may be shutting it down.
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    std::ignore = ::connect(m_socket.native_handle(), &unspecified, sizeof(unspecified));
}

std::string tokenChunk(unsigned n)
{
    const auto number = std::to_string(n);
    return R"({"id":"x","index":)" + number + R"(,"choices":[{"index":0,"delta":{"content":"t)" + number + R"( "},"finish_reason":null}]})";
}

FakeUpstream::FakeUpstream(Handler handler, FakeReceiving receiving)
    : m_handler(std::move(handler))
    , m_receiving(receiving)
    , m_acceptor(m_io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_port(m_acceptor.local_endpoint().port())
{
    if (m_receiving.bufferBytes > 0) {
        // Accepted sockets have the option of their listener.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(m_receiving.bufferBytes));
    }
    m_acceptThread = std::thread([this] { accept(); });
}

FakeUpstream::~FakeUpstream()
{
    crash();
    m_acceptThread.join();
    for (auto &it : m_threads) {
        it.join();
    }
}

std::uint16_t FakeUpstream::port() const
{
    return m_port;
}

std::string FakeUpstream::received() const
{
    const std::scoped_lock lock(m_mutex);
    return m_received;
}

std::size_t FakeUpstream::calls() const
{
    const std::scoped_lock lock(m_mutex);
    return m_calls;
}

void FakeUpstream::setIncarnation(unsigned incarnation)
{
    m_incarnation.store(incarnation);
}

void FakeUpstream::nameIncarnation(unsigned incarnation, unsigned copies)
{
    m_reportCopies.store(copies);
    m_namedIncarnation.store(incarnation);
}

void FakeUpstream::closeOnReport()
{
    m_closesOnReport.store(true);
}

void FakeUpstream::answerReport(std::string bytes)
{
    m_reportAnswer = std::move(bytes);
}

void FakeUpstream::stallOnReport()
{
    m_stallsOnReport.store(true);
}

void FakeUpstream::repeatBeforeReport(std::string headers)
{
    m_repeatedHeaders = std::move(headers);
    m_repeatsBeforeReport.store(true);
}

void FakeUpstream::report(FakeCall &call)
{
    if (m_repeatsBeforeReport.exchange(false)) {
        call.reply(200, "done", m_repeatedHeaders);
    }
    if (m_stallsOnReport.load()) {
        call.waitForClose();
        return;
    }
    if (!m_reportAnswer.empty()) {
        call.send(m_reportAnswer);
        return;
    }
    if (m_closesOnReport.load()) {
        call.drop();
        return;
    }
    const auto incarnation = m_namedIncarnation.load();
    if (incarnation == 0) {
        call.reply(404, "{}");
        return;
    }
    for (unsigned n = 0; n < m_reportCopies.load(); ++n) {
        call.reply(200, R"({"running":0,"born":)" + std::to_string(incarnation) + "}");
    }
}

void FakeUpstream::crash()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    // Wakes the blocked accept and has further connections refused; the listener itself belongs to the accepting thread.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    const std::scoped_lock lock(m_mutex);
    for (const auto &it : m_sockets) {
        boost::system::error_code ec;
        it->shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    }
}

void FakeUpstream::accept()
{
    while (!m_stopping.load()) {
        auto socket = std::make_shared<asio::ip::tcp::socket>(m_io);
        boost::system::error_code ec;
        m_acceptor.accept(*socket, ec);
        const std::scoped_lock lock(m_mutex);
        if (ec || m_stopping.load()) {
            break;
        }
        socket->set_option(asio::ip::tcp::no_delay(true), ec);
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

void FakeUpstream::serve(const Socket &socket)
{
    boost::beast::flat_buffer buffer;
    Parser parser;
    parser.eager(true);
    parser.body_limit(boost::none);
    std::array<char, 16384> piece{};
    boost::system::error_code ec;
    while (true) {
        const auto n = socket->read_some(asio::buffer(piece), ec);
        if (ec) {
            break;
        }
        {
            const std::scoped_lock lock(m_mutex);
            m_received.append(piece.data(), n);
        }
        buffer.commit(asio::buffer_copy(buffer.prepare(n), asio::buffer(piece.data(), n)));
        buffer.consume(parser.put(buffer.data(), ec));
        if (ec == http::error::need_more) {
            continue;
        }
        if (ec) {
            break;
        }
        if (isReady(parser)) {
            FakeCall call(*socket, parser.get());
            handle(call);
            if (!parser.is_done()) {
                break;
            }
            std::destroy_at(&parser);
            std::construct_at(&parser);
            parser.eager(true);
            parser.body_limit(boost::none);
        }
    }
    FakeCall(*socket, {}).drop();
}

bool FakeUpstream::isReady(const Parser &parser) const
{
    return parser.is_done() || (m_receiving.headerOnly && parser.is_header_done());
}

void FakeUpstream::handle(FakeCall &call)
{
    if (call.path() == "/control/load") {
        call.reply(200,
                   R"({"running":0,"waiting":0,"slots":8,"tokens_per_second":100,"kv_used":0,"age_ms":1,"models":["m"],"leaving":false,"incarnation":)"
                       + std::to_string(m_incarnation.load()) + "}");
        return;
    }
    if (call.path().starts_with("/control/cache-events")) {
        call.reply(200, R"({"events":[],"next":0})");
        return;
    }
    if (call.path() == "/report") {
        report(call);
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        ++m_calls;
    }
    m_handler(call);
}

} // namespace guavafield::test
