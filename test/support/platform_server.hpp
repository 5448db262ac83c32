// A platform on a loopback port, in the test's own io_context, over a MemoryTable and with faults of the connection.
#pragma once

#include <support/memory_table.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavafield::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/*! @brief What the server does with the next requests. */
enum class PlatformFault : std::uint8_t {
    None,
    // Executes the request and closes the connection without an answer.
    DropAnswer,
    // Closes the connection without executing the request.
    DropRequest,
    // Answers with this status without executing the request.
    Answer429,
    Answer503,
    // Answers with a body that is not JSON.
    Garbage,
    // Executes the request and answers with a status that HTTP does not have.
    InvalidStatus,
    // Executes the request and answers with a header in which a line continues the one before it.
    FoldedHeader,
    // Executes the request and never answers.
    Hang,
};

/*! @brief Serves /table, /objects and any other path as an echo. */
class PlatformServer
{
public:
    explicit PlatformServer(asio::io_context &io) : m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    /*! @brief Stops listening and closes all connections. */
    void close()
    {
        m_acceptor.close();
        closeConnections();
    }

    void closeConnections()
    {
        for (auto *it : m_open) {
            it->close();
        }
    }

    MemoryTable table;
    std::map<std::string, std::string> objects;
    // Applied to as many requests, then None.
    PlatformFault fault{PlatformFault::None};
    std::size_t faults{0};
    std::size_t connections{0};
    // Targets in the order of arrival.
    std::vector<std::string> targets;

private:
    using Request = http::request<http::string_body>;
    using Response = http::response<http::string_body>;

    asio::awaitable<void> accept()
    {
        for (;;) {
            boost::system::error_code ec;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            ++connections;
            const auto executor = socket.get_executor();
            asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        m_open.push_back(&socket);
        boost::beast::flat_buffer buffer;
        boost::system::error_code ec;
        while (!ec) {
            Request request;
            co_await http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                break;
            }
            targets.emplace_back(request.target());
            const auto kind = faults > 0 ? fault : PlatformFault::None;
            faults -= faults > 0 ? 1 : 0;
            auto response = answer(request, kind);
            const bool lost = std::exchange(m_loseAnswer, false);
            if (lost || kind == PlatformFault::DropAnswer || kind == PlatformFault::DropRequest) {
                break;
            }
            if (kind == PlatformFault::Hang) {
                co_await socket.async_wait(asio::socket_base::wait_error, asio::redirect_error(asio::use_awaitable, ec));
                break;
            }
            co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, ec));
        }
        std::erase(m_open, &socket);
    }

    Response answer(const Request &request, PlatformFault kind)
    {
        Response response(http::status::ok, 11);
        response.set(http::field::date, "Thu, 01 Jan 2026 00:00:00 GMT");
        if (kind == PlatformFault::Answer429 || kind == PlatformFault::Answer503) {
            response.result(kind == PlatformFault::Answer429 ? 429 : 503);
        } else if (kind == PlatformFault::Garbage) {
            response.body() = "{\"rows\":";
        } else if (kind != PlatformFault::DropRequest) {
            execute(request, response);
        }
        if (kind == PlatformFault::InvalidStatus) {
            response.result(0);
        } else if (kind == PlatformFault::FoldedHeader) {
            response.set("X-First", "1\r\n X-Second: 2");
        }
        response.prepare_payload();
        return response;
    }

    void execute(const Request &request, Response &response)
    {
        const std::string target(request.target());
        if (target.starts_with("/objects/")) {
            serveObject(request, target.substr(9), response);
        } else if (target == "/table/transact") {
            transact(boost::json::parse(request.body()).as_object(), response);
        } else if (target == "/table/read") {
            std::vector<RowKey> keys;
            const auto call = boost::json::parse(request.body());
            for (const auto &it : call.at("gets").as_array()) {
                keys.push_back(keyOf(it));
            }
            serveRows(table.read(keys), response);
        } else if (target == "/table/scan") {
            const auto call = boost::json::parse(request.body());
            serveRows(table.scan({textOf(call.at("table")), textOf(call.at("from")), textOf(call.at("to")), call.at("limit").to_number<std::size_t>()}),
                      response);
        } else {
            response.body() = request.body();
        }
    }

    void serveObject(const Request &request, const std::string &name, Response &response)
    {
        if (request.method() == http::verb::put) {
            objects[name] = request.body();
        } else if (request.method() == http::verb::delete_) {
            objects.erase(name);
        } else if (const auto it = objects.find(name); it != objects.end()) {
            response.body() = it->second;
        } else {
            response.result(404);
        }
    }

    void transact(const boost::json::object &call, Response &response)
    {
        Transaction transaction{textOf(call.at("id")), {}, {}};
        for (const auto &it : call.at("conditions").as_array()) {
            const auto &object = it.as_object();
            transaction.conditions.push_back({keyOf(it), object.contains("absent") ? 0 : object.at("version").to_number<RowVersion>()});
        }
        for (const auto &it : call.at("writes").as_array()) {
            const auto &object = it.as_object();
            transaction.writes.push_back({keyOf(it), object.contains("delete") ? std::nullopt : std::optional(boost::json::serialize(object.at("value")))});
        }
        const auto reply = table.transact(transaction);
        if (const auto *committed = std::get_if<TransactionCommitted>(&reply)) {
            boost::json::array versions(committed->versions.begin(), committed->versions.end());
            response.body() = boost::json::serialize(boost::json::object{{"committed", true}, {"versions", std::move(versions)}});
        } else if (const auto *conflict = std::get_if<TransactionConflict>(&reply)) {
            auto failed = rowToJson(conflict->current);
            failed["index"] = conflict->conditionIndex;
            response.result(409);
            response.body() = boost::json::serialize(boost::json::object{{"committed", false}, {"failed", std::move(failed)}});
        } else if (std::holds_alternative<TransactionUnknown>(reply)) {
            m_loseAnswer = true;
        } else {
            response.result(503);
        }
    }

    static void serveRows(const ReadReply &reply, Response &response)
    {
        const auto *rows = std::get_if<ReadRows>(&reply);
        if (rows == nullptr) {
            response.result(503);
            return;
        }
        boost::json::array list;
        for (const auto &it : rows->rows) {
            list.push_back(rowToJson(it));
        }
        response.body() = boost::json::serialize(boost::json::object{{"rows", std::move(list)}, {"more", rows->more}});
    }

    static std::string textOf(const boost::json::value &value)
    {
        return std::string(value.as_string());
    }
    static RowKey keyOf(const boost::json::value &value)
    {
        return {textOf(value.at("table")), textOf(value.at("key"))};
    }
    static boost::json::object rowToJson(const Row &row)
    {
        boost::json::object object{{"table", row.key.table}, {"key", row.key.key}};
        if (row.version == 0) {
            object["absent"] = true;
        } else {
            object["version"] = row.version;
            object["value"] = boost::json::parse(row.value);
        }
        return object;
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket *> m_open;
    // The table lost the reply to the request just executed.
    bool m_loseAnswer{false};
};

/*! @brief Runs a coroutine to its end on an io_context and returns its value. */
template <typename Type>
Type await(asio::io_context &io, asio::awaitable<Type> work)
{
    std::optional<Type> result;
    std::exception_ptr error;
    asio::co_spawn(io, std::move(work), [&](std::exception_ptr thrown, Type value) {
        error = std::move(thrown);
        result = std::move(value);
    });
    while (!result && io.run_one() > 0) { }
    if (error) {
        std::rethrow_exception(error);
    }
    return std::move(result.value());
}

} // namespace guavafield::test
