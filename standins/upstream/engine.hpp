// Model of an engine with continuous batching: slots, prefill, token pace and cancellation.
#pragma once

#include "standins/common/http_server.hpp"
#include "standins/upstream/prefix_cache.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <string>

namespace guavafield::standin {

/*! @brief Speed and size of an engine, in simulated time. */
struct EngineOptions
{
    std::size_t slots{16};
    // Time per output token with a batch of one.
    double tokenMs{10};
    // Growth of the time per token with each further request of the batch, as a share of tokenMs.
    double batchCost{0.05};
    double prefillMsPerToken{0.2};
    std::size_t cachePrefixes{4096};
    double cacheEventLagMs{500};
    std::uint64_t cacheGapEvery{17};
    double reportLagMs{500};
    // Tokens of KV memory.
    double kvTokens{200'000};
};

/*! @brief One request as the engine sees it. */
struct Job
{
    std::string requestId;
    std::string prompt;
    // 0 is the highest.
    std::uint32_t priority{0};
    std::uint32_t promptTokens{0};
    std::uint32_t outputTokens{0};
    // Tokens that an earlier attempt delivered.
    std::uint32_t firstToken{0};
    bool cancelled{false};
    bool running{false};
    std::uint64_t sequence{0};
    // Wakes a waiting job when it gets a slot or is cancelled.
    asio::steady_timer *waitTimer{nullptr};
};

/*! @brief Returns token n of the answer to a prompt: eight hexadecimal digits of the prompt's hash, a colon, n and a space. */
[[nodiscard]] std::string tokenText(std::string_view prompt, std::uint32_t n);
/*! @brief Returns the stand-in's token count of a text, four bytes a token. */
[[nodiscard]] std::uint32_t countTokens(std::string_view text) noexcept;

/*! @brief The engine; all calls on one thread. */
class Engine
{
public:
    Engine(const EngineOptions &options, const SimulatedClock &clock);

    /*! @brief Holds a job's place from construction to destruction. */
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

        /*! @brief Waits for a slot and for the prefill; false when cancelled or the caller is gone. */
        [[nodiscard]] asio::awaitable<bool> start(Exchange &exchange);
        /*! @brief Waits for the next token; false when cancelled or the caller is gone. */
        [[nodiscard]] asio::awaitable<bool> nextToken(Exchange &exchange);

    private:
        Engine &m_engine;
        std::list<Job>::iterator m_job;
    };

    /*! @brief Cancels a request by its id; false when there is none. */
    bool cancel(std::string_view requestId);
    /*! @brief Sets the factor by which all work is slower. */
    void setSlowdown(double factor) noexcept
    {
        m_slowdown = factor;
    }
    /*! @brief Keeps the current figures for later reports. */
    void sampleLoad();
    /*! @brief Returns the last figures kept, with their age. */
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
