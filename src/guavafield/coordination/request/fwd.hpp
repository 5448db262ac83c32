// Forward declarations for request scheduling.
#pragma once

namespace guavafield {

class RequestScheduler;
struct CrashRecord;
struct EngineDemand;
struct LoadReport;
struct PeerWork;
struct RequestInfo;
struct TeamDemand;

} // namespace guavafield
