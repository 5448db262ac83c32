// Forward declarations of the upstreams' health: crashes, probes and outliers.
#pragma once

namespace guavafield {

class ConnectionProbes;
class CrashEvidence;
class CrashTracker;
class OutlierDetector;
class UpstreamNotices;
struct CrashKnowledge;
struct CrashObservation;

} // namespace guavafield
