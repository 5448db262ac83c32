// Record of the parts of prompts and the requests with which answers have survived.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace guavafield {

/*! @brief Last time at which an answer with a feature survived. Bounded; features that have not been seen for long yield. Not thread-safe. */
class SurvivalLog
{
public:
    void add(std::uint64_t feature, SteadyTime at);

    /*! @brief Returns the last time; empty if none is known. */
    [[nodiscard]] std::optional<SteadyTime> last(std::uint64_t feature) const;
    /*! @brief Returns whether an answer with the feature survived at that time or later. */
    [[nodiscard]] bool since(std::uint64_t feature, SteadyTime at) const;

private:
    void dropOldHalf();

    std::unordered_map<std::uint64_t, SteadyTime> m_last;
};

} // namespace guavafield
