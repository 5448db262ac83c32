// HTTP interface of an upstream: completions, control calls, plain services and faults.
#pragma once

#include "standins/common/http_server.hpp"
#include "standins/upstream/engine.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace guavafield::standin {

/*! @brief How an upstream behaves. */
struct UpstreamOptions
{
    EngineOptions engine;
    std::vector<std::string> models{"small"};
    std::uint64_t incarnation{1};
    bool checkFence{false};
    // Plain service instead of an engine.
    bool service{false};
    // Time to load a model, an adapter or a version.
    double loadMs{2000};
};

/*! @brief Serves the engine's or the plain service's interface. */
class Upstream
{
public:
    Upstream(UpstreamOptions options, const SimulatedClock &clock, asio::io_context &io);

    /*! @brief Serves one request. */
    [[nodiscard]] asio::awaitable<void> handle(Exchange &exchange);
    /*! @brief Refreshes the load report for ever. */
    [[nodiscard]] asio::awaitable<void> sampleLoad();

private:
    using Response = std::pair<unsigned, json::value>;

    struct InjectedFaults
    {
        std::string crashMarker;
        double delayMs{0};
        // Answers end after so many tokens without an end mark; negative for never.
        double dropAfterTokens{-1};
        // Service calls that take effect but get no answer.
        std::uint64_t responsesToDrop{0};
    };

    [[nodiscard]] asio::awaitable<void> handleCompletion(Exchange &exchange, bool chat);
    [[nodiscard]] asio::awaitable<void> generateTokens(Exchange &exchange, Engine::JobHandle &jobHandle, bool chat, bool stream);
    [[nodiscard]] asio::awaitable<void> handleServiceCall(Exchange &exchange);
    [[nodiscard]] asio::awaitable<void> handleOrder(Exchange &exchange);
    [[nodiscard]] Response handleControl(Exchange &exchange);
    [[nodiscard]] Response setFaults(const json::object &call);
    [[nodiscard]] Response loadReport() const;
    [[nodiscard]] json::object chunkBody(const Engine::JobHandle &jobHandle, std::uint32_t n, const std::string &text, bool chat) const;
    [[nodiscard]] json::object completionBody(const Engine::JobHandle &jobHandle, const std::string &text, bool chat) const;
    [[nodiscard]] bool servesModel(std::string_view model) const;
    [[nodiscard]] asio::awaitable<void> exitAfter(double milliseconds);
    void recordRequest(const Request &request);

    UpstreamOptions m_options;
    const SimulatedClock &m_clock;
    asio::io_context &m_io;
    Engine m_engine;
    InjectedFaults m_faults;
    bool m_leaving{false};
    std::string m_role{"both"};
    double m_highestFence{0};
    json::array m_orders;
    std::map<std::string, std::uint64_t, std::less<>> m_callsByKey;
    // Latest requests as received, bounded in bytes.
    std::deque<std::string> m_recordedRequests;
    std::size_t m_recordedBytes{0};
};

} // namespace guavafield::standin
