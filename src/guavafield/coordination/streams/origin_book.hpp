// A host's own memory of the streams that began through it.
#pragma once

#include <guavafield/coordination/streams/stream_origin.hpp>
#include <guavafield/state/configuration.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>

namespace guavafield {

/*! @brief A stream whose first event has arrived. */
struct BegunStream
{
    StreamHash stream{0};
    StreamOrigin origin;
    // Empty if the origin comes from the record of another host.
    UpstreamId upstream;
    // As its entry named it at the dispatch.
    Incarnation incarnation{0};
    SteadyTime dispatched{};
    // When it can no longer be taken up.
    SteadyTime until{};
    // Its route leads to several pools, so that only a record tells which one it began in.
    bool split{false};
    // The process has named itself as the incarnation, so that no later entry makes the origin uncertain.
    bool identified{false};
    // It is known which version began it.
    bool certain{true};
};

/*!
 * @brief Remembers the origins of a bounded number of streams; the oldest are forgotten first.
 *
 * Not thread-safe.
 */
class OriginBook
{
public:
    explicit OriginBook(std::size_t capacity) : m_capacity(capacity) { }

    /*! @brief Enters a stream; two entries of one stream that contradict each other leave its origin uncertain. */
    void add(BegunStream stream, SteadyTime now);
    /*! @brief Returns the origin of a stream; empty if it is not known for certain. */
    [[nodiscard]] std::optional<StreamOrigin> find(StreamHash stream, SteadyTime now) const;
    /*! @brief Returns whether the stream is known here, but not for certain where it began. */
    [[nodiscard]] bool isUncertain(StreamHash stream) const;
    /*!
     * @brief Compares the upstreams with those at the dispatches.
     * @param certainUntil The entries of the upstreams before this configuration held at least until then; what was dispatched later may have
     * reached the process that replaced the upstream.
     */
    void onConfiguration(const Configuration &configuration, SteadyTime certainUntil);
    /*! @brief Takes up to this number of streams that are not in the table service yet, of those for which the function returns true. */
    [[nodiscard]] std::vector<BegunStream> takeUnsaved(const std::function<bool(const BegunStream &)> &wanted, std::size_t limit, SteadyTime now);
    /*! @brief Gives streams back whose writing failed. */
    void returnUnsaved(const std::vector<BegunStream> &streams);
    /*! @brief The table service came back without what was written to it. */
    void forgetSaved();

private:
    struct Entry
    {
        BegunStream stream;
        bool saved{false};
    };

    void dropOld(SteadyTime now);

    std::size_t m_capacity;
    std::unordered_map<StreamHash, Entry> m_entries;
    // Oldest first; each stream of m_entries is in it once.
    std::deque<StreamHash> m_order;
    // In order of entry; may name streams that have been forgotten.
    std::deque<StreamHash> m_unsaved;
};

} // namespace guavafield
