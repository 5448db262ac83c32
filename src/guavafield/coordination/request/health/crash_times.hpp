// Times by which crashes are compared and reported.
#pragma once

#include <guavafield/state/types.hpp>

namespace guavafield::internal {

// Crashes are compared for this long.
inline constexpr Milliseconds crashMemory{60'000};
// Hosts of the largest fleets report to each other within this time.
inline constexpr Milliseconds reportedFor{8'000};
// Crashes closer together count as one moment. By the next one, an answer with a sound part that is in use has survived somewhere, and this host has
// been told.
inline constexpr Milliseconds momentDistance{500};

} // namespace guavafield::internal
