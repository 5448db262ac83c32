// Forward declarations of the decisions on a request.
#pragma once

namespace guavafield {

class RequestScheduler;
struct CrashRecord;
struct LoadReport;
struct PeerWork;
struct RequestInfo;
struct TeamDemand;

} // namespace guavafield
