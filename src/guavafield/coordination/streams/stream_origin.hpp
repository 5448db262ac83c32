// Where a stream began, and the rows in which hosts keep it for each other.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Hash of the id of the caller's attempt that brought a stream's first event. */
using StreamHash = std::uint64_t;

/*! @brief Returns the hash of an attempt's id; the same on all hosts. */
[[nodiscard]] StreamHash streamHash(std::string_view requestId) noexcept;

/*! @brief The pool and the software version that wrote a stream's first event. */
struct StreamOrigin
{
    PoolId pool;
    SoftwareVersion version;

    // clang-tidy 14 mistakes the comparison with 0 in the generated operator for a null pointer comparison.
    friend auto operator<=>(const StreamOrigin &, const StreamOrigin &) = default; // NOLINT(modernize-use-nullptr)
};

/*! @brief Streams of one origin. */
struct OriginGroup
{
    StreamOrigin origin;
    std::vector<StreamHash> streams;

    friend bool operator==(const OriginGroup &, const OriginGroup &) = default;
};

/*! @brief One row: streams that began through one host at about the same time. */
struct OriginBatch
{
    // No stream of the row can be taken up later.
    WallTime until{};
    std::vector<OriginGroup> groups;

    friend bool operator==(const OriginBatch &, const OriginBatch &) = default;
};

/*! @brief A software version that serves or has served a pool. */
struct VersionSpan
{
    SoftwareVersion version;
    // Empty while it serves.
    std::optional<WallTime> left;

    friend bool operator==(const VersionSpan &, const VersionSpan &) = default;
};

/*! @brief One row: the software versions of a pool. */
struct VersionRecord
{
    // Complete from this time on.
    WallTime since{};
    // Epoch of the table service in which it was written; in a later one, the row may have come back older.
    std::uint64_t epoch{0};
    // In order of the versions' texts.
    std::vector<VersionSpan> versions;

    friend bool operator==(const VersionRecord &, const VersionRecord &) = default;
};

} // namespace guavafield
