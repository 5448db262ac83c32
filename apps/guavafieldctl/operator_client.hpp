// Client for the operator port of a host.
#pragma once

#include "apps/guavafieldctl/exit_status.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <stdexcept>
#include <string>

namespace guavafield::ctl {

/*! @brief Error that ends the program with a message and an exit status. */
class CommandError : public std::runtime_error
{
public:
    CommandError(ExitStatus status, const std::string &message) : std::runtime_error(message), m_status(status) { }

    [[nodiscard]] ExitStatus status() const noexcept
    {
        return m_status;
    }

private:
    ExitStatus m_status;
};

/*! @brief Address, credentials and timeout for requests to a host. */
struct ClientOptions
{
    // IP address and port.
    std::string address{"127.0.0.1:9080"};
    std::string token;
    std::chrono::seconds timeout{30};
};

/*! @brief Sends requests to one host; failures are thrown as CommandError with the matching exit status. */
class OperatorClient
{
public:
    explicit OperatorClient(ClientOptions options) : m_options(std::move(options)) { }

    /*! @brief Sends a request and returns the body of a 2xx response. */
    [[nodiscard]] std::string send(const std::string &method, const std::string &target, const std::string &body = {}) const;

    [[nodiscard]] boost::json::value get(const std::string &target) const;
    [[nodiscard]] boost::json::value post(const std::string &target, const boost::json::value &body) const;

private:
    ClientOptions m_options;
};

/*! @brief Parses JSON text; source describes its origin in the error message. */
[[nodiscard]] boost::json::value parseText(const std::string &text, const std::string &source);

} // namespace guavafield::ctl
