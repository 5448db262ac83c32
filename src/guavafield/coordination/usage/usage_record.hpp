// Usage figures, their rows and the rows that seal windows.
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

/*! @brief Returns the window that a time of day falls into. */
[[nodiscard]] UsageWindow usageWindowAt(WallTime time) noexcept;

/*! @brief What is counted separately. */
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

/*! @brief What a team pays for; retried, hedged, preempted and resumed work is not included. */
struct UsageCounts
{
    std::uint64_t requests{0};
    std::uint64_t promptTokens{0};
    std::uint64_t outputTokens{0};

    UsageCounts &operator+=(const UsageCounts &other) noexcept;
    friend bool operator==(const UsageCounts &, const UsageCounts &) = default;
};

using UsageFigures = std::map<UsageDimensions, UsageCounts>;

/*! @brief Figures of one window in packed form. */
struct UsageSection
{
    UsageWindow window{0};
    std::string packed;
};

/*! @brief Value of the row usage/<window>/<host>/<incarnation>/<n>; a section of another window is a correction. */
struct UsageRow
{
    // Empty if the figures went elsewhere because the window had been closed.
    std::vector<UsageSection> sections;
};

/*! @brief Value of the row usage-done/<window>/<host>/<incarnation>: what remains of rows that were reported and deleted. */
struct UsageDone
{
    // Highest number among the rows that held figures.
    std::uint64_t lastRow{0};
};

enum class SealState : std::uint8_t {
    // No flush into the window takes effect any more.
    Closing,
    // Figures and reporter are fixed.
    Sealed,
    Reported,
};

/*! @brief Value of the row seal/<window>. */
struct SealRecord
{
    SealState state{SealState::Closing};
    // Of the lease under which the row was written.
    Fence fence{0};
    std::string id;
    // Set once sealed: digest of the figures, name of the object that holds them, and the only process that may report them.
    std::string digest;
    std::string object;
    LeaseHolder reporter;
};

/*! @brief Figures of all windows that a report covers: its own and those that it corrects. */
using WindowFigures = std::map<UsageWindow, UsageFigures>;

/*! @brief Encodings that the usage components use. */
struct UsageCodec
{
    std::string (*pack)(const UsageFigures &figures);
    std::optional<UsageFigures> (*unpack)(std::string_view packed);
    RecordCodec<UsageRow> row;
    RecordCodec<UsageDone> done;
    RecordCodec<SealRecord> seal;
    // The figures as they are stored and reported; the same figures give the same text.
    std::string (*encodeReport)(UsageWindow window, const WindowFigures &figures);
    std::string (*digest)(std::string_view text);
};

/*! @brief Returns the part of row keys that names a window; sorts like the window. */
[[nodiscard]] std::string usageWindowName(UsageWindow window);
/*! @brief Returns the window that a row key starts with; empty if it has another form. */
[[nodiscard]] std::optional<UsageWindow> usageWindowFromKey(std::string_view key);
/*! @brief Returns the key of the row seal/<window>. */
[[nodiscard]] RowKey sealKey(UsageWindow window);

} // namespace guavafield
