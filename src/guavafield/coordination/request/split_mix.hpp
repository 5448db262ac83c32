// Seeded pseudo-random generator that makes the random choices of the scheduler reproducible.
#pragma once

#include <cstddef>
#include <cstdint>

namespace guavafield {

/*! @brief SplitMix64 generator. */
class SplitMix
{
public:
    explicit SplitMix(std::uint64_t seed) noexcept : m_state(seed) { }

    [[nodiscard]] std::uint64_t next() noexcept
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        auto value = m_state;
        value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
        return value ^ (value >> 31U);
    }

    /*! @brief Returns a uniformly distributed value in (0, 1). */
    [[nodiscard]] double uniform() noexcept
    {
        return (static_cast<double>(next() >> 11U) + 0.5) * 0x1.0p-53;
    }

    /*! @brief Returns a uniformly distributed integer below a positive limit. */
    [[nodiscard]] std::size_t below(std::size_t limit) noexcept
    {
        return static_cast<std::size_t>(uniform() * static_cast<double>(limit));
    }

private:
    std::uint64_t m_state;
};

} // namespace guavafield
