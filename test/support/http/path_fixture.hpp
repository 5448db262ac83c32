// The request path in the test's process, a configuration for it, and a blocking client.
#pragma once

#include "support/http/fake_upstream.hpp"

#include <guavafield/transport/http/request_path.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace guavafield::test {

inline constexpr std::string_view testKey = "gf_k1_0123456789abcdef";
inline constexpr std::string_view fleetSecret = "fleet secret";

/*! @brief A blocking client connection with a time limit that only a failing test reaches. */
class Client
{
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    explicit Client(const boost::asio::ip::tcp::endpoint &endpoint, int receiveBufferBytes = 0);

    void send(std::string_view bytes);
    /*! @brief Reads a whole answer; empty if the connection ended before its end. */
    [[nodiscard]] std::optional<Response> read();
    /*! @brief Reads raw bytes until they contain a text; false if the connection ended before. */
    [[nodiscard]] bool readUntil(std::string_view text);
    /*! @brief Reads raw bytes until the connection ends, and returns all bytes that readUntil() and this have read. */
    [[nodiscard]] std::string readAll();
    void close();

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::string m_raw;
};

/*! @brief A running request path. */
class PathFixture
{
public:
    PathFixture();
    ~PathFixture();

    /*! @brief Returns settings with short limits that tests may change before start(). */
    DaemonSettings settings;
    Configuration configuration;
    PathHooks hooks;
    // The configuration is confirmed as the newest at the start.
    bool confirmed{true};

    void addUpstream(const std::string &id, const FakeUpstream &upstream, bool engine = true);
    void addService(const std::string &prefix, std::vector<UpstreamId> upstreams, bool repeatable = true);
    /*! @param withConfiguration Puts the configuration in force first. */
    void start(bool withConfiguration = true);
    /*! @brief Puts the configuration in force with the next revision. */
    void applyConfiguration();

    [[nodiscard]] RequestPath &path()
    {
        return *m_path;
    }
    [[nodiscard]] Counters &counters()
    {
        return m_counters;
    }
    [[nodiscard]] boost::asio::io_context &io()
    {
        return m_io;
    }
    [[nodiscard]] std::size_t threads() const
    {
        return m_threads.size();
    }
    [[nodiscard]] Client connect(int receiveBufferBytes = 0);
    /*! @brief Sends a request on a connection of its own and reads the whole answer. */
    [[nodiscard]] std::optional<Client::Response> call(std::string_view request);
    /*! @brief Returns the usage reported so far. */
    [[nodiscard]] std::vector<RequestUsage> usage();

private:
    SystemClock m_clock;
    Counters m_counters;
    SnapshotCell<Configuration> m_cell;
    boost::asio::io_context m_io;
    std::shared_ptr<RequestPath> m_path;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::vector<RequestUsage> m_usage;
};

/*! @brief Returns the text of a POST request with the test's key. */
[[nodiscard]] std::string post(std::string_view path, std::string_view body, std::string_view headers = {});
/*! @brief Returns a chat request; its answer is short, so that the scheduler lets it wait for a slot. */
[[nodiscard]] std::string chat(bool stream, std::string_view headers = {}, std::string_view content = "hello");
/*! @brief Returns guavafield_code of an error body; 0 if there is none. */
[[nodiscard]] unsigned codeOf(std::string_view body);
/*! @brief Returns not_run of an error body. */
[[nodiscard]] bool notRun(std::string_view body);

} // namespace guavafield::test
