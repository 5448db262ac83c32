// An upstream for tests: one thread a connection, answers given by the test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace guavafield::test {

/*! @brief A flag that one thread sets and another waits for, with a limit that only a failing test reaches. */
class Signal
{
public:
    void set();
    [[nodiscard]] bool wait();

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_set{false};
};

/*! @brief Waits for a condition, with a limit that only a failing test reaches. */
[[nodiscard]] bool waitUntil(const std::function<bool()> &condition);

/*! @brief One request at the fake upstream and the raw socket for its answer. */
class FakeCall
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    FakeCall(boost::asio::ip::tcp::socket &socket, Request request) : m_socket(socket), m_request(std::move(request)) { }

    [[nodiscard]] const Request &request() const noexcept
    {
        return m_request;
    }
    [[nodiscard]] std::string path() const
    {
        return std::string(m_request.target());
    }

    /*! @brief Sends bytes; false when the other side is gone. */
    bool send(std::string_view bytes);
    bool reply(unsigned status, std::string_view body, std::string_view headers = {});
    bool beginStream();
    /*! @brief Sends one chunk with an event. */
    bool event(std::string_view data);
    /*! @brief Sends the chunk of token n. */
    bool token(unsigned n);
    bool endStream();
    /*! @brief Waits until bytes can be sent; false if the other side takes none for this time. */
    [[nodiscard]] bool writable(std::chrono::milliseconds time);
    /*! @brief Reads this many bytes of the request's body, or less if the other side closes the connection; returns their number. */
    std::size_t receive(std::size_t bytes);
    /*! @brief Waits until the other side closes the connection. */
    bool waitForClose();
    /*! @brief Has the system drop all packets that arrive on the connection, unacknowledged, as if they were lost; or ends that. */
    void losePackets(bool lose);
    /*! @brief Ends the sending direction, as a server does that has sent an answer without a length and reads the rest of the request. */
    void endSending();
    /*! @brief Closes the connection. */
    void drop();
    /*! @brief Resets the connection. */
    void reset();

private:
    boost::asio::ip::tcp::socket &m_socket;
    Request m_request;
};

/*! @brief Returns the data of the chunk of token n; its text is "t<n> ". */
[[nodiscard]] std::string tokenChunk(unsigned n);

/*! @brief How a fake upstream receives requests. */
struct FakeReceiving
{
    // The handler is called after the header; it reads the body with FakeCall::receive(), and the connection ends with it.
    bool headerOnly{false};
    // Of each connection, so that it does not depend on the machine how much of a request is in flight; 0 for the system's default.
    int bufferBytes{0};
};

/*! @brief For upstreams that answer a request before they have received it. */
inline constexpr FakeReceiving receiveHeaderOnly{true, 16 * 1024};
/*! @brief Length of a body that the socket buffers of both sides do not hold if an upstream of receiveHeaderOnly stops receiving. */
inline constexpr std::size_t longBodyBytes = std::size_t{32} * 1024 * 1024;

/*! @brief Accepts connections on a port of the system's choice until it is destroyed. */
class FakeUpstream
{
public:
    using Handler = std::function<void(FakeCall &)>;

    /*! @param handler Called for each request but those of control paths; from many threads. */
    explicit FakeUpstream(Handler handler, FakeReceiving receiving = {});
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /*! @brief Returns every byte received so far, control paths included. */
    [[nodiscard]] std::string received() const;
    /*! @brief Returns the number of requests received, control paths not included. */
    [[nodiscard]] std::size_t calls() const;
    /*! @brief Closes the listener and all connections, as a crashed process does. */
    void crash();
    /*! @brief Sets the incarnation in load reports. */
    void setIncarnation(unsigned incarnation);
    /*! @brief Answers /report with this incarnation from now on, so many times each; before, such requests are answered 404. */
    void nameIncarnation(unsigned incarnation, unsigned copies = 1);
    /*! @brief Closes the connections of such requests from now on. */
    void closeOnReport();
    /*! @brief Sends an answer with these headers before that to the first such request; to be called before the first one. */
    void repeatBeforeReport(std::string headers);
    /*! @brief Sends these bytes as the answer to such requests; to be called before the first one. */
    void answerReport(std::string bytes);
    /*! @brief Leaves such requests without an answer from now on. */
    void stallOnReport();

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void accept();
    void serve(const Socket &socket);
    [[nodiscard]] bool isReady(const Parser &parser) const;
    void handle(FakeCall &call);
    void report(FakeCall &call);

    Handler m_handler;
    FakeReceiving m_receiving;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping{false};
    std::atomic<unsigned> m_incarnation{1};
    // 0 if it names none.
    std::atomic<unsigned> m_namedIncarnation{0};
    std::atomic<unsigned> m_reportCopies{1};
    std::atomic<bool> m_closesOnReport{false};
    std::atomic<bool> m_stallsOnReport{false};
    // Empty unless set by answerReport().
    std::string m_reportAnswer;
    std::string m_repeatedHeaders;
    std::atomic<bool> m_repeatsBeforeReport{false};
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::string m_received;
    std::size_t m_calls{0};
    std::vector<Socket> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace guavafield::test
