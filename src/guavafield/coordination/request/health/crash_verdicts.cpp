// Bounded storage of verdicts.
#include <guavafield/coordination/request/health/crash_verdicts.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace guavafield {

namespace internal {

constexpr std::size_t maxVerdicts = 256;

bool holdsAll(std::span<const std::uint64_t> features, std::span<const std::uint64_t> wanted)
{
    return std::ranges::all_of(wanted, [features](auto it) { return std::ranges::find(features, it) != features.end(); });
}

} // namespace internal

void CrashVerdicts::add(RefusedCombination verdict)
{
    std::erase_if(m_entries, [&verdict](const auto &it) { return internal::holdsAll(it.features, verdict.features); });
    if (m_entries.size() >= internal::maxVerdicts) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, &RefusedCombination::at));
    }
    m_entries.push_back(std::move(verdict));
}

bool CrashVerdicts::clear(std::uint64_t feature, SteadyTime provedAt)
{
    bool found = false;
    for (auto &it : m_entries) {
        found |= it.at < provedAt && std::erase(it.features, feature) > 0;
    }
    std::erase_if(m_entries, [](const auto &it) { return it.features.empty(); });
    return found;
}

bool CrashVerdicts::names(std::uint64_t feature) const
{
    return std::ranges::any_of(m_entries, [feature](const auto &it) { return std::ranges::find(it.features, feature) != it.features.end(); });
}

bool CrashVerdicts::nameTogether(std::uint64_t feature, std::uint64_t other) const
{
    return std::ranges::any_of(m_entries, [features = std::array{feature, other}](const auto &it) { return internal::holdsAll(it.features, features); });
}

bool CrashVerdicts::covers(std::span<const std::uint64_t> features) const
{
    return std::ranges::any_of(m_entries,
                               [features](const auto &it) { return internal::holdsAll(features, it.features) || internal::holdsAll(it.features, features); });
}

bool CrashVerdicts::refuses(std::span<const std::uint64_t> parts) const
{
    return std::ranges::any_of(m_entries, [parts](const auto &it) { return internal::holdsAll(parts, it.features); });
}

std::optional<SteadyTime> CrashVerdicts::refusedSince(const CrashSuspect &suspect) const
{
    std::optional<SteadyTime> result;
    for (const auto &it : m_entries) {
        if (suspect.holdsAll(it.features)) {
            result = std::max(result.value_or(it.at), it.at);
        }
    }
    return result;
}

} // namespace guavafield
