// Record of crashes of upstreams and of the requests that may have caused them.
#pragma once

#include <guavafield/coordination/request/health/crash_observation.hpp>
#include <guavafield/state/types.hpp>

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace guavafield {

/*! @brief A crash and all of its suspects that are known. */
struct LoggedCrash
{
    SteadyTime at{};
    std::vector<CrashSuspect> suspects;
};

/*! @brief Crashes by the process that ended. Bounded in crashes and in suspects of each; the oldest crashes yield. Not thread-safe. */
class CrashLog
{
public:
    using Entries = std::map<CrashId, LoggedCrash>;

    /*! @brief Records a suspect of a crash; returns whether it is new. */
    bool add(const CrashId &crash, const CrashSuspect &suspect, SteadyTime at);
    void erase(const CrashId &crash);
    /*! @brief Erases the crashes for which the predicate returns true. */
    template <typename Predicate>
    void eraseIf(Predicate predicate)
    {
        std::erase_if(m_entries, [&predicate](const auto &it) { return predicate(it.first, it.second); });
    }

    /*! @brief Returns the time of a crash that is stored. */
    [[nodiscard]] SteadyTime at(const CrashId &crash) const
    {
        return m_entries.at(crash).at;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_entries.size();
    }
    [[nodiscard]] Entries::const_iterator begin() const noexcept
    {
        return m_entries.begin();
    }
    [[nodiscard]] Entries::const_iterator end() const noexcept
    {
        return m_entries.end();
    }

private:
    Entries m_entries;
};

} // namespace guavafield
