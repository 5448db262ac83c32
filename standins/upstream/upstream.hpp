// HTTP interface of the upstream stand-in: completions, plain service calls, control calls and fault injection.
#pragma once

#include "standins/common/http_server.hpp"
#include "standins/upstream/engine.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace guavafield::standin {

/*! @brief Configuration of an upstream stand-in. */
struct UpstreamOptions
{
    EngineOptions engine;
    std::vector<std::string> models{"small"};
    std::uint64_t incarnation{1};
    bool checkFence{false};
    // Act as a plain service instead of a model engine.
    bool service{false};
    // Simulated time to load a model, an adapter or a version.
    double loadMs{2000};
};

/*! @brief Upstream that acts as a model engine or as a plain service. */
class Upstream
{
public:
    Upstream(UpstreamOptions options, const SimulatedClock &clock, asio::io_context &io);

    /*! @brief Handles one request. */
    [[nodiscard]] asio::awaitable<void> handle(Exchange &exchange);
    /*! @brief Updates the load report periodically; never returns. */
    [[nodiscard]] asio::awaitable<void> sampleLoad();

private:
    using Response = std::pair<unsigned, json::value>;

    struct InjectedFaults
    {
        std::string crashMarker;
        double delayMs{0};
        // Number of tokens after which a response is cut off without an end marker; negative disables this.
        double dropAfterTokens{-1};
        // Number of upcoming service calls that take effect but get no response.
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
    // Most recent requests as received; the total size is bounded.
    std::deque<std::string> m_recordedRequests;
    std::size_t m_recordedBytes{0};
};

} // namespace guavafield::standin
