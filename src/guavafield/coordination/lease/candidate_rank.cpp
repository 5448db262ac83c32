// Rendezvous hashing over lease and host names.
#include <guavafield/coordination/lease/candidate_rank.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

std::uint64_t candidateWeight(std::string_view lease, std::string_view host) noexcept
{
    return XXH64(host.data(), host.size(), XXH64(lease.data(), lease.size(), 0));
}

} // namespace internal

std::uint32_t candidateRank(std::string_view lease, std::string_view self, std::span<const HostId> candidates)
{
    const auto own = std::pair(internal::candidateWeight(lease, self), self);
    return static_cast<std::uint32_t>(
        std::ranges::count_if(candidates, [&](const HostId &it) { return std::pair(internal::candidateWeight(lease, it), std::string_view(it)) > own; }));
}

} // namespace guavafield
