// Keys of usage rows and arithmetic on windows and counts.
#include <guavafield/coordination/usage/usage_record.hpp>

#include <charconv>

namespace guavafield {

namespace internal {

constexpr std::size_t windowDigits = 12;

} // namespace internal

UsageWindow usageWindowAt(WallTime time) noexcept
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
    return seconds - seconds % usageWindowLength.count();
}

UsageCounts &UsageCounts::operator+=(const UsageCounts &other) noexcept
{
    requests += other.requests;
    promptTokens += other.promptTokens;
    outputTokens += other.outputTokens;
    return *this;
}

std::string usageWindowName(UsageWindow window)
{
    auto digits = std::to_string(window);
    return digits.insert(0, internal::windowDigits - std::min(internal::windowDigits, digits.size()), '0');
}

std::optional<UsageWindow> usageWindowFromKey(std::string_view key)
{
    UsageWindow window = 0;
    if (key.size() < internal::windowDigits) {
        return std::nullopt;
    }
    const auto *last = key.data() + internal::windowDigits;
    const auto parsed = std::from_chars(key.data(), last, window);
    return parsed.ec == std::errc() && parsed.ptr == last ? std::optional(window) : std::nullopt;
}

RowKey sealKey(UsageWindow window)
{
    return {"seal", usageWindowName(window)};
}

} // namespace guavafield
