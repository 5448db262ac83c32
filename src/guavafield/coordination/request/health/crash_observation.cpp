// Identification of a request and its parts as suspects.
#include <guavafield/coordination/request/health/crash_observation.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// Bounds the memory and the reports that one request takes up.
constexpr std::size_t maxParts = 16;

} // namespace internal

bool CrashSuspect::holds(std::uint64_t feature) const
{
    return request == feature || std::ranges::find(parts, feature) != parts.end();
}

bool CrashSuspect::holdsAll(std::span<const std::uint64_t> features) const
{
    return std::ranges::all_of(features, [this](auto it) { return holds(it); });
}

CrashSuspect crashSuspectOf(const RequestInfo &request)
{
    CrashSuspect suspect;
    for (std::size_t n = 0; n < sizeof(suspect.request); ++n) {
        suspect.request = suspect.request << 8U | request.fingerprint[n];
    }
    const auto n = std::min(request.sharedParts.size(), internal::maxParts);
    suspect.parts.assign(request.sharedParts.begin(), request.sharedParts.begin() + static_cast<std::ptrdiff_t>(n));
    return suspect;
}

} // namespace guavafield
