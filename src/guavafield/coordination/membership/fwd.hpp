// Forward declarations for host membership.
#pragma once

namespace guavafield {

class Membership;
class MemberTable;
class Piggyback;
struct Member;
struct MembershipSettings;
struct PeerAddress;
struct PeerMessage;

} // namespace guavafield
