// Forward declarations for request scheduling.
#pragma once

#include <guavafield/coordination/request/admission/fwd.hpp>
#include <guavafield/coordination/request/health/fwd.hpp>
#include <guavafield/coordination/request/limits/fwd.hpp>
#include <guavafield/coordination/request/placement/fwd.hpp>
#include <guavafield/coordination/request/scheduler/fwd.hpp>

namespace guavafield {

struct CrashRecord;
struct LoadReport;
struct RequestEntry;
struct RequestInfo;
struct TeamDemand;
struct UpstreamState;

} // namespace guavafield
