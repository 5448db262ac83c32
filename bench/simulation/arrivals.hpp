// Generates the open-loop arrivals of a scenario from a seed, independently of the scheduling policy.
#pragma once

#include <bench/simulation/workload.hpp>

#include <cstdint>
#include <vector>

namespace guavafield::bench {

/*! @brief A request with its time of arrival. */
struct Arrival
{
    Milliseconds time{};
    std::size_t team{0};
    std::size_t kind{0};
    std::size_t host{0};
    std::uint32_t promptTokens{0};
    std::uint32_t outputTokens{0};
    std::vector<std::uint64_t> prefixes;
    bool crashesEngine{false};
};

/*! @brief Prompt tokens in one block of the prefix cache. */
inline constexpr double tokensPerBlock = 128;

/*! @brief Generates the arrivals of a scenario in one data centre, sorted by time. */
[[nodiscard]] std::vector<Arrival> generateArrivals(const Workload &workload, const Scenario &scenario, std::uint64_t seed);

/*! @brief Returns the number of slots of all engines in a data centre. */
[[nodiscard]] double totalSlots(const Workload &workload) noexcept;

/*! @brief Returns how many seconds a request occupies a slot of a fully loaded engine of the first kind, without prefix cache hits. */
[[nodiscard]] double referenceSlotSeconds(const Workload &workload, double promptTokens, double outputTokens) noexcept;

} // namespace guavafield::bench
