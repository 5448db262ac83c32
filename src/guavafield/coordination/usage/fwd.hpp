// Forward declarations of usage windows and billing.
#pragma once

namespace guavafield {

class UsageMeter;
class UsageSealer;
struct SealRecord;
struct UsageCounts;
struct UsageRow;
struct UsageDimensions;

} // namespace guavafield
