// Bounded storage of survivals.
#include <guavafield/coordination/request/health/survival_log.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace guavafield {

namespace internal {

constexpr std::size_t maxSurvivals = 8'192;

} // namespace internal

void SurvivalLog::add(std::uint64_t feature, SteadyTime at)
{
    auto &last = m_last[feature];
    last = std::max(last, at);
    if (m_last.size() > internal::maxSurvivals) {
        dropOldHalf();
    }
}

std::optional<SteadyTime> SurvivalLog::last(std::uint64_t feature) const
{
    const auto it = m_last.find(feature);
    return it != m_last.end() ? std::optional(it->second) : std::nullopt;
}

bool SurvivalLog::since(std::uint64_t feature, SteadyTime at) const
{
    const auto time = last(feature);
    return time && *time >= at;
}

void SurvivalLog::dropOldHalf()
{
    std::vector<SteadyTime> times;
    for (const auto &[feature, at] : m_last) {
        times.push_back(at);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    std::erase_if(m_last, [limit = *middle](const auto &it) { return it.second <= limit; });
}

} // namespace guavafield
