// Origins of streams from the rows that all hosts have written.
#pragma once

#include <guavafield/coordination/streams/stream_origin.hpp>

#include <cstddef>
#include <unordered_map>

namespace guavafield {

/*! @brief Finds streams in the rows read so far. A row that was overwritten keeps its streams until they end. Not thread-safe. */
class OriginIndex
{
public:
    void add(const OriginBatch &batch);
    /*! @brief Returns the origin of a stream; empty if no row names it or rows contradict each other. */
    [[nodiscard]] std::optional<StreamOrigin> find(StreamHash stream) const;
    /*! @brief Forgets streams that can no longer be taken up. */
    void dropEnded(WallTime now);
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        // Empty if rows contradict each other.
        std::optional<StreamOrigin> origin;
        WallTime until{};
    };

    std::unordered_map<StreamHash, Entry> m_entries;
};

} // namespace guavafield
