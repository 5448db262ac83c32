// Forward declarations of the limits of upstreams and of retries.
#pragma once

namespace guavafield {

class BrittleRoom;
class ConcurrencyLimit;
class RetryBudget;
class SharedRateLimit;
struct FleetTurn;
struct RateLimitObservation;

} // namespace guavafield
