// JSON messages of the platform's table service: formats requests and parses responses.
#pragma once

#include <guavafield/coordination/table/table.hpp>
#include <guavafield/state/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*!
 * @brief Formats the body of POST /table/transact.
 * @param transaction The values of its writes are JSON documents.
 * @return The body, or PlatformAnswerInvalid with the path of the write if a value is not valid JSON.
 */
[[nodiscard]] Result<std::string> formatTransaction(const Transaction &transaction);

/*!
 * @brief Parses the body of a 200 or 409 response to POST /table/transact.
 * @param transaction The transaction that was sent; the response must match it.
 */
[[nodiscard]] Result<TransactionReply> parseTransactionReply(std::string_view body, const Transaction &transaction);

/*! @brief Formats the body of POST /table/read. */
[[nodiscard]] std::string formatReadRequest(std::span<const RowKey> keys);

/*! @brief Parses the response to POST /table/read; it must contain the requested rows in the same order. */
[[nodiscard]] Result<ReadRows> parseReadReply(std::string_view body, std::span<const RowKey> keys);

/*! @brief Formats the body of POST /table/scan. */
[[nodiscard]] std::string formatScanRequest(const ScanRange &range);

/*! @brief Parses the response to POST /table/scan; the rows must lie in the range and be in ascending order. */
[[nodiscard]] Result<ReadRows> parseScanReply(std::string_view body, const ScanRange &range);

} // namespace guavafield
