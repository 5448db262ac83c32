// Forward declarations of the request scheduler.
#pragma once

namespace guavafield {

class RequestScheduler;
struct Pool;
struct SchedulerSettings;

} // namespace guavafield
