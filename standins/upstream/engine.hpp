// Simulated model engine with continuous batching: slots, prefill time, time per token and cancellation.
#pragma once

#include "standins/common/http_server.hpp"
#include "standins/upstream/prefix_cache.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <string>

namespace guavafield::standin {

/*! @brief Speed and capacity of an engine; all durations are in simulated time. */
struct EngineOptions
{
    std::size_t slots{16};
    // Time per output token with a batch of one.
    double tokenMs{10};
    // Increase of the time per token for each additional request in the batch, as a fraction of tokenMs.
    double batchCost{0.05};
    double prefillMsPerToken{0.2};
    std::size_t cachePrefixes{4096};
    double cacheEventLagMs{500};
    std::uint64_t cacheGapEvery{17};
    double reportLagMs{500};
    // Capacity of the KV cache in tokens.
    double kvTokens{200'000};
};

/*! @brief A request that waits for a slot or runs in the engine. */
struct Job
{
    std::string requestId;
    std::string prompt;
    // 0 is the highest priority.
    std::uint32_t priority{0};
    std::uint32_t promptTokens{0};
    std::uint32_t outputTokens{0};
    // Index of the first token to generate; an earlier attempt delivered those before it.
    std::uint32_t firstToken{0};
    bool cancelled{false};
    bool running{false};
    std::uint64_t sequence{0};
    // Timer that a waiting job sleeps on, null otherwise; cancelled to wake the job when it gets a slot or is cancelled.
    asio::steady_timer *waitTimer{nullptr};
};

/*! @brief Returns token n of a completion: eight hexadecimal digits of the prompt's hash, a colon, n and a space. */
[[nodiscard]] std::string tokenText(std::string_view prompt, std::uint32_t n);
/*! @brief Returns the number of tokens in a text at four bytes per token, rounded up. */
[[nodiscard]] std::uint32_t countTokens(std::string_view text) noexcept;

/*! @brief Schedules jobs on a limited number of slots; not thread-safe. */
class Engine
{
public:
    Engine(const EngineOptions &options, const SimulatedClock &clock);

    /*! @brief Enqueues a job on construction and removes it, freeing its slot, on destruction. */
    class JobHandle
    {
    public:
        JobHandle(Engine &engine, Job job);
        ~JobHandle();
        JobHandle(const JobHandle &) = delete;
        JobHandle &operator=(const JobHandle &) = delete;

        [[nodiscard]] const Job &job() const noexcept
        {
            return *m_job;
        }

        /*! @brief Waits for a slot and for the prefill; returns false if the job was cancelled or the client disconnected. */
        [[nodiscard]] asio::awaitable<bool> start(Exchange &exchange);
        /*! @brief Waits for the next token; returns false if the job was cancelled or the client disconnected. */
        [[nodiscard]] asio::awaitable<bool> nextToken(Exchange &exchange);

    private:
        Engine &m_engine;
        std::list<Job>::iterator m_job;
    };

    /*! @brief Cancels all jobs with a request id; returns false if there are none. */
    bool cancel(std::string_view requestId);
    /*! @brief Sets the factor by which prefill and token times are multiplied. */
    void setSlowdown(double factor) noexcept
    {
        m_slowdown = factor;
    }
    /*! @brief Takes the load sample that later reports return. */
    void sampleLoad();
    /*! @brief Returns the latest load sample and its age. */
    [[nodiscard]] json::object loadReport() const;
    [[nodiscard]] const PrefixCache &cache() const noexcept
    {
        return m_cache;
    }

private:
    void assignSlots();
    [[nodiscard]] std::size_t runningJobs() const;

    EngineOptions m_options;
    const SimulatedClock &m_clock;
    PrefixCache m_cache;
    std::list<Job> m_jobs;
    std::uint64_t m_lastSequence{0};
    double m_slowdown{1};
    std::uint64_t m_tokensSinceSample{0};
    double m_sampledAt{0};
    json::object m_sample;
};

} // namespace guavafield::standin
