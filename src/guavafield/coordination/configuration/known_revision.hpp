// What a host knows of the newest configuration revision; shared by the follower and by gossip.
#pragma once

#include <guavafield/state/types.hpp>

namespace guavafield {

/*! @brief A revision that was the platform's newest one, and how long ago that was; an age, since hosts' wall clocks are not compared. */
struct KnownRevision
{
    Revision revision{0};
    Milliseconds age{0};
};

} // namespace guavafield
