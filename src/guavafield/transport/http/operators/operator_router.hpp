// Operators' requests and the parts of the daemon that answer them.
#pragma once

#include <guavafield/state/result.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/verb.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief A request of an operator whose token has been checked. */
struct OperatorRequest
{
    boost::beast::http::verb method{boost::beast::http::verb::get};
    // Without the query.
    std::string path;
    std::string query;
    std::string body;
};

/*! @brief The answer to an operator. */
struct OperatorAnswer
{
    unsigned status{200};
    std::string contentType{"application/json"};
    std::string body;
};

/*! @brief Makes the answer for an error; the status is that of its code. */
[[nodiscard]] OperatorAnswer operatorError(const Error &error);

using OperatorHandler = std::function<boost::asio::awaitable<OperatorAnswer>(OperatorRequest)>;

/*! @brief Maps methods and path prefixes to handlers; filled before the server starts and not changed afterwards. */
class OperatorRouter
{
public:
    /*!
     * @brief Registers a handler.
     * @param prefix Starts with "/admin/"; the longest prefix of a path wins.
     */
    void add(boost::beast::http::verb method, std::string prefix, OperatorHandler handler);

    /*! @brief Returns the handler of a request, or RouteUnknown or MethodNotAllowed. */
    [[nodiscard]] Result<const OperatorHandler *> find(boost::beast::http::verb method, std::string_view path) const;

private:
    struct Entry
    {
        boost::beast::http::verb method;
        std::string prefix;
        OperatorHandler handler;
    };

    std::vector<Entry> m_entries;
};

} // namespace guavafield
