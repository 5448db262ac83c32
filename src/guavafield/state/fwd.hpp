// Forward declarations of the state layer.
#pragma once

namespace guavafield {

class Clock;
class ManualClock;
class SystemClock;
class Counters;
class KeyHasher;
struct ApiKey;
struct Configuration;
struct Contract;
struct Error;
struct Model;
struct RequestClass;
struct Route;
struct Team;
struct Upstream;
template <typename Type>
class SnapshotCell;

} // namespace guavafield
