// Token bucket that limits model loads from the weight store.
#include <guavafield/coordination/order/order_record.hpp>

#include <algorithm>

namespace guavafield {

std::optional<WeightBucket> takeWeightToken(const std::optional<WeightBucket> &bucket, const WeightLimit &limit, WallTime now)
{
    WeightBucket next{limit.burst, now, {}};
    if (bucket) {
        const auto elapsed = std::chrono::duration<double>(std::max(now - bucket->updated, WallTime::duration::zero())).count();
        next.tokens = std::min(limit.burst, bucket->tokens + elapsed * limit.loadsPerSecond);
        // Never moves the time back, even if the clocks of the writing hosts differ.
        next.updated = std::max(now, bucket->updated);
    }
    if (next.tokens < 1) {
        return std::nullopt;
    }
    next.tokens -= 1;
    return next;
}

} // namespace guavafield
