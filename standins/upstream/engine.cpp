// Slot scheduling, timing and load samples of the engine.
#include "standins/upstream/engine.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace guavafield::standin {

namespace {

// Real-time interval at which a waiting job checks whether its client has disconnected.
constexpr std::chrono::milliseconds disconnectPollInterval{20};

bool runsBefore(const Job &left, const Job &right)
{
    return left.priority != right.priority ? left.priority < right.priority : left.sequence < right.sequence;
}

} // namespace

std::string tokenText(std::string_view prompt, std::uint32_t n)
{
    char text[32];
    const auto hash = static_cast<unsigned>(XXH3_64bits(prompt.data(), prompt.size()) & 0xFFFFFFFFU);
    std::snprintf(text, sizeof text, "%08x:%u ", hash, n);
    return text;
}

std::uint32_t countTokens(std::string_view text) noexcept
{
    return static_cast<std::uint32_t>((text.size() + 3) / 4);
}

Engine::Engine(const EngineOptions &options, const SimulatedClock &clock)
    : m_options(options), m_clock(clock), m_cache(options.cachePrefixes, options.cacheEventLagMs, options.cacheGapEvery)
{
    sampleLoad();
}

Engine::JobHandle::JobHandle(Engine &engine, Job job) : m_engine(engine)
{
    job.sequence = ++engine.m_lastSequence;
    m_job = engine.m_jobs.insert(engine.m_jobs.end(), std::move(job));
    engine.assignSlots();
}

Engine::JobHandle::~JobHandle()
{
    m_engine.m_jobs.erase(m_job);
    m_engine.assignSlots();
}

asio::awaitable<bool> Engine::JobHandle::start(Exchange &exchange)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    m_job->waitTimer = &timer;
    while (!m_job->running && !m_job->cancelled && !exchange.clientDisconnected()) {
        timer.expires_after(disconnectPollInterval);
        beast::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    m_job->waitTimer = nullptr;
    if (!m_job->running || m_job->cancelled) {
        co_return false;
    }
    const auto hashes = prefixHashes(m_job->prompt);
    const auto cachedTokens = m_engine.m_cache.cachedBlocks(hashes) * (prefixBlockBytes / 4);
    const auto tokens = m_job->promptTokens - std::min<std::size_t>(m_job->promptTokens, cachedTokens);
    const auto prefill = static_cast<double>(tokens) * m_engine.m_options.prefillMsPerToken * m_engine.m_slowdown;
    co_await m_engine.m_clock.sleep(prefill);
    m_engine.m_cache.insert(hashes, m_engine.m_clock.now());
    co_return !m_job->cancelled && !exchange.clientDisconnected();
}

asio::awaitable<bool> Engine::JobHandle::nextToken(Exchange &exchange)
{
    const auto batch = static_cast<double>(m_engine.runningJobs());
    const auto tokenTime = m_engine.m_options.tokenMs * (1.0 + m_engine.m_options.batchCost * (batch - 1)) * m_engine.m_slowdown;
    co_await m_engine.m_clock.sleep(tokenTime);
    ++m_engine.m_tokensSinceSample;
    co_return !m_job->cancelled && !exchange.clientDisconnected();
}

bool Engine::cancel(std::string_view requestId)
{
    bool found = false;
    for (auto &it : m_jobs) {
        if (it.requestId == requestId) {
            found = true;
            it.cancelled = true;
            if (it.waitTimer != nullptr) {
                it.waitTimer->cancel();
            }
        }
    }
    return found;
}

void Engine::sampleLoad()
{
    const auto now = m_clock.now();
    const auto elapsed = now - m_sampledAt;
    double kvTokens = 0;
    for (const auto &it : m_jobs) {
        kvTokens += it.running ? it.promptTokens + it.outputTokens : 0;
    }
    m_sample = json::object{{"running", runningJobs()},
                            {"waiting", m_jobs.size() - runningJobs()},
                            {"slots", m_options.slots},
                            {"tokens_per_second", elapsed > 0 ? static_cast<double>(m_tokensSinceSample) * 1000.0 / elapsed : 0.0},
                            {"kv_used", std::min(1.0, kvTokens / m_options.kvTokens)}};
    m_tokensSinceSample = 0;
    m_sampledAt = now;
}

json::object Engine::loadReport() const
{
    auto report = m_sample;
    report["age_ms"] = static_cast<std::uint64_t>(m_clock.now() - m_sampledAt);
    return report;
}

void Engine::assignSlots()
{
    while (runningJobs() < m_options.slots) {
        auto best = m_jobs.end();
        for (auto it = m_jobs.begin(); it != m_jobs.end(); ++it) {
            if (!it->running && !it->cancelled && (best == m_jobs.end() || runsBefore(*it, *best))) {
                best = it;
            }
        }
        if (best == m_jobs.end()) {
            return;
        }
        best->running = true;
        if (best->waitTimer != nullptr) {
            best->waitTimer->cancel();
        }
    }
}

std::size_t Engine::runningJobs() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [](const Job &it) { return it.running; }));
}

} // namespace guavafield::standin
