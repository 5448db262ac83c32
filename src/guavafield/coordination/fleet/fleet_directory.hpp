// The configuration in force, put together from the operators' document and the entries of upstreams.
#pragma once

#include <guavafield/coordination/fleet/table_mirror.hpp>
#include <guavafield/state/configuration.hpp>
#include <guavafield/state/result.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief An upstream's own entry. */
struct UpstreamEntry
{
    Upstream upstream;
    // Time until a leaving upstream ends, as of the entry.
    std::optional<Milliseconds> leavesIn;
};

/*! @brief Decoding of the mirrored rows; each platform brings its own. */
struct DirectoryCodec
{
    // Key of the row that holds the operators' document.
    std::string documentKey;
    std::function<Result<Configuration>(std::string_view text)> document;
    std::function<Result<UpstreamEntry>(std::string_view id, std::string_view text)> upstream;
};

/*! @brief A row that could not be used; it changes nothing. */
struct InvalidDirectoryRow
{
    std::string key;
    RowVersion version{0};
    Error error;
};

/*!
 * @brief Follows two mirrored tables.
 *
 * An entry that lapsed while the table could not be read is kept for a short time after that, since a living upstream writes it again.
 * Not safe for several threads.
 */
class FleetDirectory
{
public:
    explicit FleetDirectory(DirectoryCodec codec) : m_codec(std::move(codec)) { }

    /*!
     * @brief Takes the tables as they are now; always the same two mirrors.
     * @return The new configuration; null if nothing changed or there is no document yet.
     */
    [[nodiscard]] std::shared_ptr<const Configuration> update(const TableMirror &document, const TableMirror &upstreams, SteadyTime now);

    /*! @brief Returns when update() has to be called without another change; empty if it need not. */
    [[nodiscard]] const std::optional<SteadyTime> &nextWakeup() const noexcept
    {
        return m_wakeup;
    }
    /*! @brief Returns the rows that could not be used since the last call. */
    [[nodiscard]] std::vector<InvalidDirectoryRow> takeInvalidRows();

private:
    struct KnownUpstream
    {
        RowVersion version{0};
        std::optional<Upstream> upstream;
        // The row has lapsed and is taken as gone then.
        std::optional<SteadyTime> removeAt;
    };

    bool updateDocument(const TableMirror &mirror);
    bool updateUpstreams(const TableMirror &mirror, SteadyTime now);
    bool applyEntry(const MirroredRow &row, SteadyTime now);
    void detectOutage(const TableMirror &mirror, SteadyTime now);

    DirectoryCodec m_codec;
    // Without upstreams; revision 0 before the first document.
    Configuration m_document;
    RowVersion m_documentVersion{0};
    StringMap<KnownUpstream> m_upstreams;
    // changes() of the tables when they were last looked through.
    std::uint64_t m_documentChanges{0};
    std::uint64_t m_upstreamChanges{0};
    // The earliest goneAt.
    std::optional<SteadyTime> m_wakeup;
    std::optional<SteadyTime> m_lastConfirmed;
    // The upstreams' table was read again after an outage.
    std::optional<SteadyTime> m_outageEnd;
    std::vector<InvalidDirectoryRow> m_faults;
};

} // namespace guavafield
