// Maps prompt prefixes to the upstreams that hold them, based on cache events and on dispatches of this host.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace guavafield {

struct UpstreamState;

/*! @brief Index from prefix hash to upstreams, bounded per upstream. */
class PrefixIndex
{
public:
    using Holders = std::vector<UpstreamState *>;

    void add(std::uint64_t prefix, UpstreamState &upstream);
    void remove(std::uint64_t prefix, UpstreamState &upstream);
    /*! @brief Removes all prefixes of an upstream, e.g. after a restart of its process. */
    void removeAll(UpstreamState &upstream);

    /*! @brief Returns the upstreams that are assumed to hold a prefix. */
    [[nodiscard]] const Holders &holders(std::uint64_t prefix) const;

private:
    struct UpstreamPrefixes
    {
        std::unordered_set<std::uint64_t> prefixes;
        // Oldest first; may contain prefixes that are no longer held.
        std::deque<std::uint64_t> order;
    };

    std::unordered_map<std::uint64_t, Holders> m_holders;
    std::unordered_map<UpstreamState *, UpstreamPrefixes> m_byUpstream;
};

} // namespace guavafield
