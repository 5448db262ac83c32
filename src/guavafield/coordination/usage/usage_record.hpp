// Usage figures, the rows that store them and the rows that record the sealing of windows.
#pragma once

#include <guavafield/coordination/lease/lease_record.hpp>
#include <guavafield/coordination/table/table_io.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace guavafield {

/*! @brief Start of a window in seconds since the epoch; a multiple of usageWindowLength. */
using UsageWindow = std::int64_t;
inline constexpr std::chrono::seconds usageWindowLength{300};

/*! @brief Returns the window that contains a time of day. */
[[nodiscard]] UsageWindow usageWindowAt(WallTime time) noexcept;

/*! @brief Dimensions by which usage is counted. */
struct UsageDimensions
{
    TeamId team;
    std::string className;
    ModelId model;

    friend bool operator<(const UsageDimensions &left, const UsageDimensions &right)
    {
        return std::tie(left.team, left.className, left.model) < std::tie(right.team, right.className, right.model);
    }
    friend bool operator==(const UsageDimensions &, const UsageDimensions &) = default;
};

/*! @brief Billable usage of a team; work repeated by retries, hedging, preemption or resumption is not included. */
struct UsageCounts
{
    std::uint64_t requests{0};
    std::uint64_t promptTokens{0};
    std::uint64_t outputTokens{0};

    UsageCounts &operator+=(const UsageCounts &other) noexcept;
    friend bool operator==(const UsageCounts &, const UsageCounts &) = default;
};

using UsageFigures = std::map<UsageDimensions, UsageCounts>;

/*! @brief Figures of one window in their compact encoding. */
struct UsageSection
{
    UsageWindow window{0};
    std::string packed;
};

/*! @brief Value of the row usage/<window>/<host>/<incarnation>/<n>; a section of another window is a correction. */
struct UsageRow
{
    // Empty if the window was closed first and the figures were written to another window.
    std::vector<UsageSection> sections;
};

/*! @brief Value of the row usage-done/<window>/<host>/<incarnation>: replaces rows that were reported and deleted. */
struct UsageDone
{
    // Highest number of a deleted row that held figures.
    std::uint64_t lastRow{0};
};

enum class SealState : std::uint8_t {
    // Flushes into the window no longer take effect.
    Closing,
    // Figures and reporter are fixed.
    Sealed,
    Reported,
};

/*! @brief Value of the row seal/<window>. */
struct SealRecord
{
    SealState state{SealState::Closing};
    // Fencing token of the lease under which the row was written.
    Fence fence{0};
    std::string id;
    // Set once sealed: the digest of the figures, the object that stores them and the only process that may report them.
    std::string digest;
    std::string object;
    LeaseHolder reporter;
};

/*! @brief Figures of all windows that a report covers: the reported window and those that it corrects. */
using WindowFigures = std::map<UsageWindow, UsageFigures>;

/*! @brief Encodings that the usage components use. */
struct UsageCodec
{
    std::string (*pack)(const UsageFigures &figures);
    std::optional<UsageFigures> (*unpack)(std::string_view packed);
    RecordCodec<UsageRow> row;
    RecordCodec<UsageDone> done;
    RecordCodec<SealRecord> seal;
    // Encodes figures for storage and reports. Deterministic: equal figures give equal text.
    std::string (*encodeReport)(UsageWindow window, const WindowFigures &figures);
    std::string (*digest)(std::string_view text);
};

/*! @brief Returns the part of a row key that names the window; it sorts in window order. */
[[nodiscard]] std::string usageWindowName(UsageWindow window);
/*! @brief Returns the window at the start of a row key; empty if the key is malformed. */
[[nodiscard]] std::optional<UsageWindow> usageWindowFromKey(std::string_view key);
/*! @brief Returns the key of the row seal/<window>. */
[[nodiscard]] RowKey sealKey(UsageWindow window);

} // namespace guavafield
