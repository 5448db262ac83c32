// Small reads from engines' control paths: load, cache events, and whether a process has died.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/transport/http/upstreams/upstream_exchange.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

struct PathContext;

/*! @brief The newest incarnation that each engine has reported. Safe to use from several threads. */
class EngineIncarnations
{
public:
    void set(std::string_view upstream, Incarnation incarnation);
    /*! @brief Returns 0 if the engine has not reported. */
    [[nodiscard]] Incarnation incarnation(std::string_view upstream) const;

private:
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    StringMap<Incarnation> m_known;
};

/*! @brief Reads a control path; empty if there is no whole answer of status 200. */
[[nodiscard]] boost::asio::awaitable<std::optional<std::string>>
getControl(std::shared_ptr<PathContext> context, boost::asio::any_io_executor strand, ConnectionTarget engine, std::string path);

/*!
 * @brief Finds out whether an engine's process died under an attempt whose connection broke.
 * @param known Incarnation at the start of the attempt; 0 if unknown.
 */
[[nodiscard]] boost::asio::awaitable<bool>
hasCrashed(std::shared_ptr<PathContext> context, boost::asio::any_io_executor strand, ConnectionTarget engine, Incarnation known);

/*! @brief Returns the endpoint of an upstream; empty if its address is no IP address. */
[[nodiscard]] std::optional<UpstreamEndpoint> endpointOf(std::string_view address, std::uint16_t port);

} // namespace guavafield
