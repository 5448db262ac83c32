// Interface of a background service that the daemon starts and stops.
#pragma once

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace guavafield {

/*! @brief Callbacks of a service that runs beside the request path, e.g. the configuration follower. Callbacks may be empty. */
struct DaemonService
{
    std::string name;
    // Called once, before the host accepts requests.
    std::function<void()> start;
    // Returns why this service keeps the host from being ready, or nothing if it is ready. May be called from any thread.
    std::function<std::optional<std::string>()> unreadyReason;
    // Called at the start of a graceful shutdown, while requests are still running; e.g. tells peers that the host is leaving.
    std::function<boost::asio::awaitable<void>()> announceStop;
    // Called after the last request has ended, in the reverse order of start; e.g. flushes usage or releases leases.
    std::function<boost::asio::awaitable<void>()> stop;
};

} // namespace guavafield
