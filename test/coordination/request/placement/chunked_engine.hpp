// Model of an engine that prefills prompts in chunks between the tokens of running streams.
#pragma once

#include <guavafield/state/types.hpp>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace guavafield::test {

/*! @brief Speed of a ChunkedEngine. */
struct EngineSpeed
{
    double stepSeconds{0.0046};
    // Additional step time for each running stream.
    double stepSecondsPerStream{0.0001};
    double prefillTokensPerSecond{41'400};
    double chunkTokens{2'048};
    std::uint32_t tokensPerEvent{4};
    // Factor of all times.
    double slowness{1};
};

/*! @brief A run on an engine. */
struct EngineRun
{
    RequestId request;
    // Prompt tokens still to be prefilled.
    double remainingTokens{0};
    std::uint32_t eventsLeft{1};
    std::uint8_t priority{0};
    std::uint32_t tokensOfEvent{0};
};

/*! @brief An event that a run has sent. */
struct RunEvent
{
    RequestId request;
    bool last{false};
};

/*! @brief Runs streams step by step; one step takes one chunk of one prompt and one token of each running stream. */
class ChunkedEngine
{
public:
    explicit ChunkedEngine(EngineSpeed speed) : m_speed(speed) { }

    void add(EngineRun run)
    {
        m_waiting.push_back(std::move(run));
    }

    [[nodiscard]] bool idle() const noexcept
    {
        return m_waiting.empty() && m_running.empty();
    }

    /*! @brief Performs one step, appends the events sent at its end and returns its duration in seconds. */
    double step(std::vector<RunEvent> &events)
    {
        double seconds = m_speed.stepSeconds + m_speed.stepSecondsPerStream * static_cast<double>(m_running.size());
        // Runs whose prompt is completed in this step send their first token with the next one.
        const auto before = m_running.size();
        if (!m_waiting.empty()) {
            seconds += prefillChunk();
        }
        for (std::size_t n = 0; n < before; ++n) {
            auto &run = m_running[n];
            if (++run.tokensOfEvent == m_speed.tokensPerEvent) {
                run.tokensOfEvent = 0;
                events.push_back({run.request, --run.eventsLeft == 0});
            }
        }
        std::erase_if(m_running, [](const EngineRun &it) { return it.eventsLeft == 0; });
        return seconds * m_speed.slowness;
    }

    std::set<std::uint64_t> cachedPrefixes;

private:
    double prefillChunk()
    {
        const auto first = std::ranges::min_element(m_waiting, {}, &EngineRun::priority);
        const double tokens = std::min(m_speed.chunkTokens, first->remainingTokens);
        first->remainingTokens -= tokens;
        if (first->remainingTokens <= 0) {
            m_running.push_back(std::move(*first));
            m_waiting.erase(first);
        }
        return tokens / m_speed.prefillTokensPerSecond;
    }

    EngineSpeed m_speed;
    std::vector<EngineRun> m_waiting;
    std::vector<EngineRun> m_running;
};

} // namespace guavafield::test
