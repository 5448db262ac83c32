// Newest configuration revision known to a host; exchanged between the follower and gossip.
#pragma once

#include <guavafield/state/types.hpp>

namespace guavafield {

/*! @brief A revision that was the platform's newest, and how long ago. An age rather than a time, since wall clocks of hosts are not compared. */
struct KnownRevision
{
    Revision revision{0};
    Milliseconds age{0};
};

} // namespace guavafield
