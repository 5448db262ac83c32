// Bounded cache of prompt prefixes whose event log is published with a delay and with gaps.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafield::standin {

/*! @brief Bytes of prompt text per block; prefix n is identified by the 64-bit XXH3 hash of the first n blocks. */
inline constexpr std::size_t prefixBlockBytes = 64;

/*! @brief Returns the hashes of all prefixes of a prompt that consist of whole blocks, shortest first. */
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

/*! @brief Least-recently-used cache of prefixes. */
class PrefixCache
{
public:
    /*!
     * @param capacity Maximum number of prefixes.
     * @param eventLagMs Simulated milliseconds after which an event becomes visible.
     * @param gapEvery Every event whose sequence number is a multiple of this is never published; 0 publishes all.
     */
    PrefixCache(std::size_t capacity, double eventLagMs, std::uint64_t gapEvery);

    /*! @brief Returns the number of leading blocks whose prefixes are all cached. */
    [[nodiscard]] std::size_t cachedBlocks(const std::vector<std::uint64_t> &hashes) const;
    /*! @brief Adds the prefixes of a prompt or marks them as used, then evicts the least recently used ones. */
    void insert(const std::vector<std::uint64_t> &hashes, double now);
    /*! @brief Returns the visible events with a sequence number above after, and the number to continue from. */
    [[nodiscard]] boost::json::object eventsAfter(std::uint64_t after, double now) const;

private:
    struct Event
    {
        std::uint64_t sequence{0};
        double time{0};
        bool added{true};
        std::uint64_t hash{0};
    };

    void publish(bool added, std::uint64_t hash, double now);

    static constexpr std::size_t maxEvents = 4096;

    std::size_t m_capacity;
    double m_eventLagMs;
    std::uint64_t m_gapEvery;
    // Most recently used first.
    std::list<std::uint64_t> m_recency;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
    std::deque<Event> m_events;
    std::uint64_t m_lastSequence{0};
};

} // namespace guavafield::standin
