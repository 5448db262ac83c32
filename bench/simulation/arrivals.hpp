// Open-loop arrivals of a scenario: a seeded list that depends on no policy.
#pragma once

#include <bench/simulation/workload.hpp>

#include <cstdint>
#include <vector>

namespace guavafield::bench {

/*! @brief A request that a caller sends at a fixed time. */
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

/*! @brief Prompt tokens that one cached prefix block stands for. */
inline constexpr double tokensPerBlock = 128;

/*! @brief Makes the arrivals of a scenario in one data centre, in order of time. */
[[nodiscard]] std::vector<Arrival> generateArrivals(const Workload &workload, const Scenario &scenario, std::uint64_t seed);

/*! @brief Slots of all engines of a data centre. */
[[nodiscard]] double totalSlots(const Workload &workload) noexcept;

/*! @brief Seconds of a slot that a request takes on the first kind of engine when full, without prefix cache. */
[[nodiscard]] double referenceSlotSeconds(const Workload &workload, double promptTokens, double outputTokens) noexcept;

} // namespace guavafield::bench
