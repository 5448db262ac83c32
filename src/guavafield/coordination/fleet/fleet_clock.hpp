// The time of day on which most hosts agree.
#pragma once

#include <guavafield/state/types.hpp>

#include <optional>
#include <string_view>
#include <utility>

namespace guavafield {

/*!
 * @brief Keeps the median of the hosts' clocks, so that a clock that was set wrongly moves no billing window.
 *
 * Times of the own steady clock have to count suspension. Not safe for several threads.
 */
class FleetClock
{
public:
    /*! @brief Takes the time of day of a host, this one included, as of now. */
    void addReading(std::string_view host, WallTime wall, SteadyTime now);

    /*! @brief Returns the agreed time of day; empty before the first host was heard. */
    [[nodiscard]] std::optional<WallTime> now(SteadyTime now) const;

private:
    struct Reading
    {
        WallTime::duration offset{};
        SteadyTime received{};
    };

    StringMap<Reading> m_readings;
};

} // namespace guavafield
