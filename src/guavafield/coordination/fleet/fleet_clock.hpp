// Wall clock time agreed between hosts.
#pragma once

#include <guavafield/state/types.hpp>

#include <optional>
#include <string_view>
#include <utility>

namespace guavafield {

/*!
 * @brief Median of the hosts' wall clocks, so that a wrongly set clock does not shift billing windows.
 *
 * The passed steady times must include the time that the system was suspended. Not thread-safe.
 */
class FleetClock
{
public:
    /*! @brief Records the current wall clock time of a host, which may be this one. */
    void addReading(std::string_view host, WallTime wall, SteadyTime now);

    /*! @brief Returns the agreed wall clock time; empty before the first reading. */
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
