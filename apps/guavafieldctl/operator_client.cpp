// Sends each request over its own HTTP connection and maps failures to exit statuses.
#include "apps/guavafieldctl/operator_client.hpp"

#include <guavafield/state/result.hpp>
#include <guavafield/transport/http/answer_header.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <exception>

namespace guavafield::ctl {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// A complete configuration with 5,000 teams takes a few MB.
constexpr std::uint64_t maxResponseBytes = 64ULL << 20U;

asio::ip::tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code ec;
    asio::ip::address address;
    if (colon != std::string::npos) {
        auto host = text.substr(0, colon);
        if (host.starts_with('[') && host.ends_with(']')) {
            host = host.substr(1, host.size() - 2);
        }
        address = asio::ip::make_address(host, ec);
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    }
    if (ec || port == 0) {
        throw CommandError(UsageError, "the address must be an IP address and port, e.g. 127.0.0.1:9080, not \"" + text + "\"");
    }
    return {address, port};
}

asio::awaitable<Response> sendRequest(asio::ip::tcp::endpoint endpoint, Request request, std::chrono::seconds timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    boost::beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    co_await stream.async_connect(endpoint, asio::use_awaitable);
    co_await http::async_write(stream, request, asio::use_awaitable);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    if (const auto ec = co_await readAnswerHeader(stream, buffer, parser)) {
        throw boost::system::system_error(ec);
    }
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    co_return parser.release();
}

ExitStatus exitStatusFor(unsigned code)
{
    switch (static_cast<ResultCode>(code)) {
    case ResultCode::ConfigurationInvalid:
    case ResultCode::ConfigurationUnknownField:
        return InvalidDocument;
    case ResultCode::ConfigurationConflict:
        return Conflict;
    case ResultCode::ConfigurationItemUnknown:
        return NotFound;
    case ResultCode::OperatorTokenInvalid:
        return NotAuthorised;
    case ResultCode::PlatformOutcomeUnknown:
        return OutcomeUnknown;
    default:
        return Failed;
    }
}

std::string stringMember(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

CommandError responseError(const Response &response)
{
    json::error_code ec;
    const auto body = json::parse(response.body(), ec);
    const auto *object = ec ? nullptr : body.if_object();
    const auto *member = object == nullptr ? nullptr : object->if_contains("error");
    if (member == nullptr || !member->is_object()) {
        return {response.result_int() == 404 ? NotFound : Failed, "the host returned HTTP status " + std::to_string(response.result_int())};
    }
    const auto &error = member->get_object();
    const auto *number = error.if_contains("guavafield_code");
    const auto code = number != nullptr && number->is_int64() ? static_cast<unsigned>(number->get_int64()) : 0U;
    auto message = stringMember(error, "message") + " (code " + std::to_string(code) + ")";
    if (const auto *revision = error.if_contains("revision")) {
        message += "; the revision in force is " + json::serialize(*revision);
    } else if (!stringMember(error, "place").empty()) {
        message += " at " + stringMember(error, "place");
    }
    if (const auto *faults = error.if_contains("faults"); faults != nullptr && faults->is_array()) {
        for (const auto &it : faults->get_array()) {
            message += "\n  " + stringMember(it.as_object(), "path") + ": " + stringMember(it.as_object(), "message");
        }
    }
    return {exitStatusFor(code), message};
}

} // namespace

std::string OperatorClient::send(const std::string &method, const std::string &target, const std::string &body) const
{
    const auto endpoint = parseEndpoint(m_options.address);
    Request request(http::string_to_verb(method), target, 11, body);
    request.set(http::field::host, m_options.address);
    request.set(http::field::authorization, "Bearer " + m_options.token);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.prepare_payload();

    asio::io_context io(1);
    Response response;
    std::exception_ptr failure;
    asio::co_spawn(io, sendRequest(endpoint, std::move(request), m_options.timeout), [&](std::exception_ptr thrown, Response received) {
        failure = std::move(thrown);
        response = std::move(received);
    });
    io.run();
    try {
        if (failure) {
            std::rethrow_exception(failure);
        }
    } catch (const boost::system::system_error &error) {
        throw CommandError(Unreachable, "cannot reach host " + m_options.address + ": " + error.code().message());
    }
    if (response.result_int() < 200 || response.result_int() > 299) {
        throw responseError(response);
    }
    return std::move(response.body());
}

json::value OperatorClient::get(const std::string &target) const
{
    return parseText(send("GET", target), "the host's response");
}

json::value OperatorClient::post(const std::string &target, const json::value &body) const
{
    return parseText(send("POST", target, json::serialize(body)), "the host's response");
}

json::value parseText(const std::string &text, const std::string &source)
{
    json::error_code ec;
    auto value = json::parse(text, ec);
    if (ec) {
        throw CommandError(InvalidDocument, source + " is not valid JSON: " + ec.message());
    }
    return value;
}

} // namespace guavafield::ctl
