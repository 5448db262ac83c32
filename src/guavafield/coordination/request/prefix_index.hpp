// Which upstreams hold which prompt prefixes, from cache events and from own dispatches.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace guavafield {

struct UpstreamState;

/*! @brief Bounded index from prefix hash to upstreams. */
class PrefixIndex
{
public:
    using Holders = std::vector<UpstreamState *>;

    void add(std::uint64_t prefix, UpstreamState &upstream);
    void remove(std::uint64_t prefix, UpstreamState &upstream);
    /*! @brief Forgets an upstream, e.g. because its process restarted. */
    void removeAll(UpstreamState &upstream);

    /*! @brief Returns the upstreams that are believed to hold a prefix. */
    [[nodiscard]] const Holders &holders(std::uint64_t prefix) const;

private:
    struct UpstreamPrefixes
    {
        std::unordered_set<std::uint64_t> prefixes;
        // Oldest first; may name prefixes that are no longer held.
        std::deque<std::uint64_t> order;
    };

    std::unordered_map<std::uint64_t, Holders> m_holders;
    std::unordered_map<UpstreamState *, UpstreamPrefixes> m_byUpstream;
};

} // namespace guavafield
