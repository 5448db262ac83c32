// Bounded cache of prompt prefixes and the events that it publishes, late and with gaps.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafield::standin {

/*! @brief Bytes of prompt text per block; prefix n is the XXH3 64-bit hash of the first n blocks. */
inline constexpr std::size_t prefixBlockBytes = 64;

/*! @brief Returns the hashes of the prompt's leading blocks, shortest prefix first. */
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

/*! @brief Least-recently-used cache of prefixes. */
class PrefixCache
{
public:
    /*!
     * @param capacity Prefixes kept.
     * @param eventLagMs Age at which an event becomes visible.
     * @param gapEvery Each so manieth event is never published; 0 for none.
     */
    PrefixCache(std::size_t capacity, double eventLagMs, std::uint64_t gapEvery);

    /*! @brief Returns how many leading blocks are cached. */
    [[nodiscard]] std::size_t cachedBlocks(const std::vector<std::uint64_t> &hashes) const;
    /*! @brief Adds or refreshes the prefixes of a prompt. */
    void insert(const std::vector<std::uint64_t> &hashes, double now);
    /*! @brief Returns the published events after a number. */
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
