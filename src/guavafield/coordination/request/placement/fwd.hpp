// Forward declarations of placement.
#pragma once

namespace guavafield {

class Placement;
class PrefixIndex;
class RelayTargets;
class Router;
class StreamIsolation;
struct EngineDemand;
struct PeerWork;
struct PlacementDecision;
struct PoolLoad;

} // namespace guavafield
