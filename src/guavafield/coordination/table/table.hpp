// Requests to the platform's table service and their replies, as value types.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavafield {

/*!
 * @brief Version of a row; increases with each write. 0 denotes an absent row.
 *
 * The upper bits count the epochs of the table service: it begins a new one each time that it loses acknowledged writes, and then counts from an
 * earlier version again. So a version of a later epoch is always the larger one.
 */
using RowVersion = std::uint64_t;

/*! @brief Bits of a version within its epoch. */
inline constexpr unsigned versionBits = 40;

/*! @brief Returns the smallest version of the epoch that a version belongs to. */
[[nodiscard]] constexpr RowVersion epochStart(RowVersion version) noexcept
{
    return version >> versionBits << versionBits;
}
/*! @brief Returns a version without its epoch, as the table service numbers it. */
[[nodiscard]] constexpr RowVersion withoutEpoch(RowVersion version) noexcept
{
    return version - epochStart(version);
}
/*! @brief Returns a version of an epoch from the number that the table service gives it. */
[[nodiscard]] constexpr RowVersion versionInEpoch(std::uint64_t epoch, RowVersion number) noexcept
{
    return (epoch << versionBits) + withoutEpoch(number);
}

/*! @brief Table and key that identify a row. */
struct RowKey
{
    std::string table;
    std::string key;

    // clang-tidy 14 mistakes the comparison with 0 in the generated operator for a null pointer comparison.
    friend auto operator<=>(const RowKey &, const RowKey &) = default; // NOLINT(modernize-use-nullptr)
};

/*! @brief A row as read; an absent row has version 0 and no value. */
struct Row
{
    RowKey key;
    RowVersion version{0};
    // JSON text.
    std::string value;
};

/*! @brief Requires a row to have exactly this version; version 0 requires that the row is absent. */
struct RowCondition
{
    RowKey key;
    RowVersion version{0};
};

/*! @brief Sets the value of a row, or deletes the row if the value is empty. */
struct RowWrite
{
    RowKey key;
    // JSON text.
    std::optional<std::string> value;
};

/*! @brief Atomic write: all writes take effect if all conditions hold, otherwise none does. */
struct Transaction
{
    // Unique. A writer that has to recognise its own write later also stores it in a row value.
    std::string id;
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/*! @brief The transaction took effect; holds the new version of each written row. */
struct TransactionCommitted
{
    std::vector<RowVersion> versions;
};

/*! @brief A condition failed and nothing was written; holds the row that did not match. */
struct TransactionConflict
{
    std::size_t conditionIndex{0};
    Row current;
};

/*! @brief The reply was lost; the transaction may have taken effect or may still do so. */
struct TransactionUnknown
{
};

/*! @brief The transaction has not taken effect and will not. */
struct TransactionRejected
{
};

using TransactionReply = std::variant<TransactionCommitted, TransactionConflict, TransactionUnknown, TransactionRejected>;

/*! @brief Rows in the order of the requested keys, or in key order for a scan. */
struct ReadRows
{
    std::vector<Row> rows;
    // The scan reached its limit, so more rows may follow.
    bool more{false};
};

/*! @brief The table service could not be read. */
struct ReadFailed
{
};

using ReadReply = std::variant<ReadRows, ReadFailed>;

/*! @brief Half-open key range of one table. */
struct ScanRange
{
    std::string table;
    std::string from;
    std::string to;
    std::size_t limit{256};
};

/*! @brief Combines lambdas into one visitor for std::visit. */
template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace guavafield
