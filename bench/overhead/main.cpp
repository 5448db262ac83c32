// Measures the latency that the daemon adds to a short request by alternating direct calls to an upstream with calls through the daemon.
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using Microseconds = std::chrono::duration<double, std::micro>;

struct Options
{
    std::uint16_t directPort{0};
    std::uint16_t daemonPort{0};
    std::string key;
    std::string body;
    int requests{2000};
};

// A keep-alive HTTP connection.
class Connection
{
public:
    Connection(asio::io_context &io, std::uint16_t port, const Options &options) : m_stream(io)
    {
        m_stream.connect(asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true));
        m_request = {http::verb::post, "/v1/chat/completions", 11};
        m_request.set(http::field::host, "127.0.0.1");
        m_request.set(http::field::content_type, "application/json");
        m_request.set(http::field::authorization, "Bearer " + options.key);
        m_request.body() = options.body;
        m_request.prepare_payload();
    }

    [[nodiscard]] Microseconds call()
    {
        const auto start = std::chrono::steady_clock::now();
        http::write(m_stream, m_request);
        http::response<http::string_body> answer;
        http::read(m_stream, m_buffer, answer);
        if (answer.result() != http::status::ok) {
            throw std::runtime_error("status " + std::to_string(answer.result_int()) + ": " + answer.body());
        }
        return std::chrono::steady_clock::now() - start;
    }

private:
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
};

double quantile(std::vector<double> &sorted, double probability)
{
    return sorted[static_cast<std::size_t>(probability * static_cast<double>(sorted.size() - 1))];
}

void run(const Options &options)
{
    asio::io_context io;
    Connection direct(io, options.directPort, options);
    Connection daemon(io, options.daemonPort, options);
    std::vector<double> directTimes;
    std::vector<double> daemonTimes;
    for (int n = 0; n < options.requests; ++n) {
        directTimes.push_back(direct.call().count());
        daemonTimes.push_back(daemon.call().count());
    }
    std::ranges::sort(directTimes);
    std::ranges::sort(daemonTimes);
    std::cout << "path,median_us,p95_us\n";
    std::cout << "direct," << quantile(directTimes, 0.5) << "," << quantile(directTimes, 0.95) << "\n";
    std::cout << "daemon," << quantile(daemonTimes, 0.5) << "," << quantile(daemonTimes, 0.95) << "\n";
    std::cout << "added," << quantile(daemonTimes, 0.5) - quantile(directTimes, 0.5) << "," << quantile(daemonTimes, 0.95) - quantile(directTimes, 0.95)
              << "\n";
    std::cout << "ratio," << quantile(daemonTimes, 0.5) / quantile(directTimes, 0.5) << "," << quantile(daemonTimes, 0.95) / quantile(directTimes, 0.95)
              << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures the latency that the daemon adds to a short request");
    Options options;
    app.add_option("--direct-port", options.directPort, "Port of the upstream")->required();
    app.add_option("--daemon-port", options.daemonPort, "Caller port of the daemon")->required();
    app.add_option("--key", options.key, "API key")->required();
    app.add_option("--body", options.body, "Request body")->required();
    app.add_option("--requests", options.requests, "Requests by each path")->check(CLI::Range(1, 1'000'000));
    CLI11_PARSE(app, argc, argv);
    try {
        run(options);
    } catch (const std::exception &error) {
        std::cerr << "overhead: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
