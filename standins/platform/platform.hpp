// HTTP interfaces of the platform stand-in and its configurable faults.
#pragma once

#include "standins/common/http_server.hpp"
#include "standins/platform/table.hpp"

#include <map>
#include <string>
#include <vector>

namespace guavafield::standin {

/*! @brief In-memory platform with table, object store, orders, usage reports, host registry and weight store. */
class Platform
{
public:
    explicit Platform(const SimulatedClock &clock) : m_clock(clock) { }

    /*! @brief Handles one request, subject to the configured latency, rate limits and faults. */
    [[nodiscard]] asio::awaitable<void> handle(Exchange &exchange);

private:
    using Response = TransactionalTable::Response;
    enum class Outage { None, Refuse, Drop };

    struct RequestCounts
    {
        std::uint64_t reads{0};
        std::uint64_t writes{0};
        std::uint64_t bytes{0};
    };

    /*! @brief State that a host registered, and the simulated time of the registration. */
    struct HostRegistration
    {
        double time{0};
        json::object host;
    };

    [[nodiscard]] asio::awaitable<void> serveObject(Exchange &exchange);
    [[nodiscard]] asio::awaitable<void> serveWeights(Exchange &exchange);
    [[nodiscard]] Response dispatch(Exchange &exchange);
    [[nodiscard]] Response applyControl(const json::object &call);
    [[nodiscard]] Response requestCounts() const;
    [[nodiscard]] Response placeOrder(json::object call);
    [[nodiscard]] Response listOrders(std::string_view dataCentre) const;
    [[nodiscard]] Response registerHosts(const json::object &call);
    [[nodiscard]] Response listHosts() const;

    const SimulatedClock &m_clock;
    TransactionalTable m_table;
    std::map<std::string, std::string, std::less<>> m_objects;
    std::vector<json::object> m_orders;
    // Highest fencing token seen per data centre.
    std::map<std::string, double, std::less<>> m_orderFences;
    json::array m_usageReports;
    std::map<std::string, std::vector<HostRegistration>, std::less<>> m_hosts;
    std::map<std::string, RequestCounts, std::less<>> m_requestCounts;

    RateLimiter m_readLimit{2000};
    RateLimiter m_writeLimit{400};
    RateLimiter m_weightLimit{10};
    Outage m_outage{Outage::None};
    double m_latencyMs{0};
    double m_hostListLagMs{0};
    std::uint64_t m_responsesToDrop{0};
    bool m_checkFence{true};
    bool m_cheapAvailable{true};
};

} // namespace guavafield::standin
