// Simulated inference engine with continuous batching, prefill, a bounded prefix cache, slots and load reports.
#pragma once

#include <bench/simulation/workload.hpp>
#include <guavafield/coordination/request/request_info.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace guavafield::bench {

/*! @brief An attempt that runs or waits on an engine. */
struct EngineAttempt
{
    std::size_t request{0};
    std::uint8_t priority{0};
    // Order of arrival at the engine.
    std::uint64_t sequence{0};
    double remainingPrefill{0};
    // Output tokens so far; starts above 0 for a resumed answer.
    double position{0};
    std::uint32_t outputTokens{0};
    bool crashesEngine{false};
    bool started{false};
};

/*! @brief Progress of an attempt in one time step. */
struct EngineEvent
{
    std::size_t request{0};
    std::uint32_t tokens{0};
    double prefilledTokens{0};
    bool finished{false};
};

/*! @brief Model of one inference engine. */
class Engine
{
public:
    Engine(Upstream upstream, const EngineKind &kind) : m_upstream(std::move(upstream)), m_kind(kind) { }

    /*!
     * @brief Queues an attempt, or runs it if a slot is free.
     * @param attempt The attempt; remainingPrefill is the number of tokens of the whole prompt.
     * @param prefixes Hashes of the prompt's prefix blocks.
     * @param tokensPerBlock Prompt tokens that need no prefill for each cached block.
     */
    void add(EngineAttempt attempt, const std::vector<std::uint64_t> &prefixes, double tokensPerBlock);
    /*! @brief Removes the attempt of a request, if there is one. */
    void cancel(std::size_t request);

    /*! @brief Advances the simulated time and appends the progress of each attempt; returns false if the engine crashed. */
    [[nodiscard]] bool advance(double seconds, std::vector<EngineEvent> &events);

    /*! @brief Stops the engine and returns the requests that were running or waiting on it. */
    [[nodiscard]] std::vector<std::size_t> stop();
    void start();

    void setSlowdown(double factor) noexcept
    {
        m_slowdown = factor;
    }
    [[nodiscard]] bool up() const noexcept
    {
        return m_up;
    }
    [[nodiscard]] const Upstream &upstream() const noexcept
    {
        return m_upstream;
    }
    [[nodiscard]] const EngineKind &kind() const noexcept
    {
        return m_kind;
    }
    [[nodiscard]] LoadReport report() const;
    /*! @brief Returns the changes to the prefix cache since the last call. */
    [[nodiscard]] std::vector<CacheEvent> takeCacheEvents();

private:
    void fillSlots();
    [[nodiscard]] double lookUpAndCache(const std::vector<std::uint64_t> &prefixes);

    Upstream m_upstream;
    EngineKind m_kind;
    bool m_up{true};
    double m_slowdown{1};
    Incarnation m_incarnation{1};
    std::uint64_t m_sequence{0};
    // Both sorted by priority, then by arrival; prefill is done in this order.
    std::vector<EngineAttempt> m_running;
    std::vector<EngineAttempt> m_waiting;
    // Least recently used first.
    std::list<std::uint64_t> m_cacheOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    std::vector<CacheEvent> m_cacheEvents;
};

/*! @brief Returns how many seconds a request occupies a slot of a fully loaded engine, without prefix cache hits. */
[[nodiscard]] double slotSeconds(const EngineKind &kind, double promptTokens, double outputTokens) noexcept;

} // namespace guavafield::bench
