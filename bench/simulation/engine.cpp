// Time-stepped model of an inference engine.
#include <bench/simulation/engine.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace guavafield::bench {

namespace internal {

// Factor on the decoding rate while any attempt is in prefill.
constexpr double decodeRateDuringPrefill = 0.85;

std::tuple<std::uint8_t, std::uint64_t> schedulingKey(const EngineAttempt &attempt) noexcept
{
    return {attempt.priority, attempt.sequence};
}

void insertSorted(std::vector<EngineAttempt> &list, const EngineAttempt &attempt)
{
    list.insert(std::ranges::upper_bound(list, schedulingKey(attempt), {}, schedulingKey), attempt);
}

} // namespace internal

double slotSeconds(const EngineKind &kind, double promptTokens, double outputTokens) noexcept
{
    const double rate = kind.tokensPerSecond / (1 + kind.batchPenalty * (kind.slots - 1));
    return promptTokens / kind.prefillTokensPerSecond + outputTokens / rate;
}

double Engine::lookUpAndCache(const std::vector<std::uint64_t> &prefixes)
{
    double cached = 0;
    for (const auto hash : prefixes) {
        if (const auto it = m_cache.find(hash); it != m_cache.end()) {
            cached += 1;
            m_cacheOrder.splice(m_cacheOrder.end(), m_cacheOrder, it->second);
            continue;
        }
        m_cache[hash] = m_cacheOrder.insert(m_cacheOrder.end(), hash);
        m_cacheEvents.push_back({true, hash});
        if (m_cache.size() > m_kind.cacheBlocks) {
            m_cacheEvents.push_back({false, m_cacheOrder.front()});
            m_cache.erase(m_cacheOrder.front());
            m_cacheOrder.pop_front();
        }
    }
    return cached;
}

void Engine::add(EngineAttempt attempt, const std::vector<std::uint64_t> &prefixes, double tokensPerBlock)
{
    attempt.sequence = ++m_sequence;
    attempt.remainingPrefill = std::max(1.0, attempt.remainingPrefill - lookUpAndCache(prefixes) * tokensPerBlock);
    internal::insertSorted(m_waiting, attempt);
    fillSlots();
}

void Engine::cancel(std::size_t request)
{
    const auto matches = [request](const EngineAttempt &it) { return it.request == request; };
    std::erase_if(m_running, matches);
    std::erase_if(m_waiting, matches);
    fillSlots();
}

void Engine::fillSlots()
{
    while (m_running.size() < m_kind.slots && !m_waiting.empty()) {
        internal::insertSorted(m_running, m_waiting.front());
        m_waiting.erase(m_waiting.begin());
    }
}

bool Engine::advance(double seconds, std::vector<EngineEvent> &events)
{
    if (!m_up || m_running.empty()) {
        return true;
    }
    const double time = seconds / m_slowdown;
    double prefillBudget = m_kind.prefillTokensPerSecond * time;
    const bool prefilling = std::ranges::any_of(m_running, [](const EngineAttempt &it) { return it.remainingPrefill > 0; });
    const double batch = static_cast<double>(m_running.size());
    double tokens = m_kind.tokensPerSecond * time / (1 + m_kind.batchPenalty * (batch - 1));
    tokens *= prefilling ? internal::decodeRateDuringPrefill : 1.0;
    bool finished = false;
    bool crashed = false;
    for (auto &it : m_running) {
        EngineEvent event{it.request};
        if (it.remainingPrefill > 0) {
            event.prefilledTokens = std::min(prefillBudget, it.remainingPrefill);
            prefillBudget -= event.prefilledTokens;
            it.remainingPrefill -= event.prefilledTokens;
            if (it.remainingPrefill <= 0) {
                // Prefill produces the first output token.
                event.tokens = 1;
                it.position += 1;
            }
        } else {
            const auto before = static_cast<std::uint32_t>(it.position);
            it.position = std::min<double>(it.position + tokens, it.outputTokens);
            event.tokens = static_cast<std::uint32_t>(it.position) - before;
        }
        if (it.crashesEngine && event.tokens > 0) {
            crashed = true;
            continue;
        }
        event.finished = it.remainingPrefill <= 0 && it.position >= it.outputTokens;
        finished |= event.finished;
        events.push_back(event);
    }
    if (finished) {
        std::erase_if(m_running, [](const EngineAttempt &it) { return it.remainingPrefill <= 0 && it.position >= it.outputTokens; });
        fillSlots();
    }
    return !crashed;
}

std::vector<std::size_t> Engine::stop()
{
    std::vector<std::size_t> requests;
    for (const auto *list : {&m_running, &m_waiting}) {
        for (const auto &it : *list) {
            requests.push_back(it.request);
        }
    }
    m_running.clear();
    m_waiting.clear();
    m_cache.clear();
    m_cacheOrder.clear();
    m_cacheEvents.clear();
    m_up = false;
    return requests;
}

void Engine::start()
{
    m_up = true;
    ++m_incarnation;
}

LoadReport Engine::report() const
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.waiting = static_cast<std::uint32_t>(m_waiting.size());
    report.slots = m_kind.slots;
    report.incarnation = m_incarnation;
    return report;
}

std::vector<CacheEvent> Engine::takeCacheEvents()
{
    return std::exchange(m_cacheEvents, {});
}

} // namespace guavafield::bench
