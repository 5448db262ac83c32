// Evidence for and against the end of an upstream's process.
#include <guavafield/coordination/request/health/broken_attempts.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// The entry of the process that follows may come so late.
constexpr Milliseconds maxOpenTime{6'000};
// What arrives so soon after a break may have been sent before the links were lost.
constexpr Milliseconds sentEarlier{20};
constexpr std::size_t maxOpen = 256;

} // namespace internal

void BrokenAttempts::add(BrokenAttempt attempt)
{
    if (m_open.size() >= internal::maxOpen) {
        m_open.erase(m_open.begin());
    }
    m_open.push_back({std::move(attempt)});
}

void BrokenAttempts::onReached(std::uint64_t upstream, SteadyTime now)
{
    for (auto &it : m_open) {
        it.witnessed |= it.attempt.crash.upstream != upstream && now - it.attempt.at > internal::sentEarlier;
    }
}

void BrokenAttempts::onConnected(std::uint64_t upstream)
{
    for (auto &it : m_open) {
        it.listening |= it.attempt.crash.upstream == upstream;
    }
}

void BrokenAttempts::onRefused(std::uint64_t upstream)
{
    for (auto &it : m_open) {
        it.crashed |= it.attempt.crash.upstream == upstream && it.witnessed && !it.listening;
    }
}

void BrokenAttempts::onReplaced(const CrashId &process)
{
    for (auto &it : m_open) {
        it.crashed |= it.attempt.crash == process;
    }
}

std::vector<BrokenAttempt> BrokenAttempts::takeCrashed(SteadyTime now)
{
    std::vector<BrokenAttempt> result;
    for (const auto &it : m_open) {
        if (it.crashed) {
            result.push_back(it.attempt);
        }
    }
    std::erase_if(m_open, [&](const Open &it) { return it.crashed || now - it.attempt.at > internal::maxOpenTime; });
    return result;
}

} // namespace guavafield
