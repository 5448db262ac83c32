// Median of the clock offsets of hosts.
#include <guavafield/coordination/fleet/fleet_clock.hpp>

#include <algorithm>
#include <vector>

namespace guavafield {

namespace internal {

// Readings older than this are discarded.
constexpr Milliseconds readingTimeout{3'000};

WallTime::duration sinceBoot(SteadyTime now)
{
    return std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
}

} // namespace internal

void FleetClock::addReading(std::string_view host, WallTime wall, SteadyTime now)
{
    m_readings[std::string(host)] = Reading{wall.time_since_epoch() - internal::sinceBoot(now), now};
    std::erase_if(m_readings, [now](const auto &it) { return now - it.second.received > internal::readingTimeout; });
}

std::optional<WallTime> FleetClock::now(SteadyTime now) const
{
    std::vector<WallTime::duration> offsets;
    for (const auto &[host, reading] : m_readings) {
        offsets.push_back(reading.offset);
    }
    if (offsets.empty()) {
        return std::nullopt;
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::ranges::nth_element(offsets, middle);
    return WallTime{internal::sinceBoot(now) + *middle};
}

} // namespace guavafield
