// Forward declarations of admission control and of the queues.
#pragma once

namespace guavafield {

class AdmissionControl;
class FairQueue;
class PoolQueue;
class ServiceTimes;

} // namespace guavafield
