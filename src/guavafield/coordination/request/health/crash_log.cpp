// Bounded storage of crashes.
#include <guavafield/coordination/request/health/crash_log.hpp>

#include <algorithm>
#include <cstddef>

namespace guavafield {

namespace internal {

constexpr std::size_t maxCrashes = 128;
constexpr std::size_t maxSuspects = 32;

} // namespace internal

bool CrashLog::add(const CrashId &crash, const CrashSuspect &suspect, SteadyTime at)
{
    const auto [it, added] = m_entries.try_emplace(crash, LoggedCrash{at, {}});
    auto &known = it->second;
    known.at = std::min(known.at, at);
    const bool isNew = known.suspects.size() < internal::maxSuspects && std::ranges::find(known.suspects, suspect) == known.suspects.end();
    if (isNew) {
        known.suspects.push_back(suspect);
    }
    if (added && m_entries.size() > internal::maxCrashes) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &entry) { return entry.second.at; }));
    }
    return isNew;
}

void CrashLog::erase(const CrashId &crash)
{
    m_entries.erase(crash);
}

} // namespace guavafield
