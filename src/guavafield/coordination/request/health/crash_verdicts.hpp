// Combinations of prompt parts, and single requests, that are refused because they crash upstreams.
#pragma once

#include <guavafield/coordination/request/health/crash_observation.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavafield {

/*! @brief A combination of features that is refused since some time. */
struct RefusedCombination
{
    // Not empty: parts that are suspected as long as they come together, the most suspect one first, or one request.
    std::vector<std::uint64_t> features;
    SteadyTime at{};
};

/*!
 * @brief The verdicts of a host.
 *
 * A request is refused if it holds all features of a verdict. A feature that proves to be sound is taken out of the verdicts that name it, and a verdict
 * ends with its last feature. Bounded; the oldest verdicts yield. Not thread-safe.
 */
class CrashVerdicts
{
public:
    using Entries = std::vector<RefusedCombination>;

    /*! @brief Adds a verdict; it replaces those that refuse fewer requests. */
    void add(RefusedCombination verdict);
    /*! @brief Takes a feature out of the verdicts that are older than its proof of soundness; returns whether it was in one. */
    bool clear(std::uint64_t feature, SteadyTime provedAt);
    /*! @brief Erases the verdicts for which the predicate returns true. */
    template <typename Predicate>
    void eraseIf(Predicate predicate)
    {
        std::erase_if(m_entries, predicate);
    }

    /*! @brief Returns whether a verdict names the feature, alone or with others. */
    [[nodiscard]] bool names(std::uint64_t feature) const;
    /*! @brief Returns whether one verdict names both features. */
    [[nodiscard]] bool nameTogether(std::uint64_t feature, std::uint64_t other) const;
    /*! @brief Returns whether a verdict names some of the features and no others, or all of them. */
    [[nodiscard]] bool covers(std::span<const std::uint64_t> features) const;
    /*! @brief Returns whether a verdict refuses requests with these parts. */
    [[nodiscard]] bool refuses(std::span<const std::uint64_t> parts) const;
    /*! @brief Returns the time of the newest verdict that refuses the request; empty if none does. */
    [[nodiscard]] std::optional<SteadyTime> refusedSince(const CrashSuspect &suspect) const;

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
