// Rows of usage figures and seals as JSON, the packed form of figures and the text of a report.
#pragma once

#include <guavafield/coordination/usage/usage_record.hpp>

namespace guavafield {

/*!
 * @brief Returns the encodings of the usage components.
 *
 * Packed figures: dictionaries of classes and models, then one entry per team, class and model in rising order. A team is written as the
 * length it shares with the previous one and the rest; all numbers are variable-length integers of 7 bits a byte.
 */
[[nodiscard]] UsageCodec usageCodec() noexcept;

/*!
 * @brief Formats the body of POST /usage.
 * @param figures JSON array as encodeReport() gives it; it is inserted unchanged, so that every repetition sends the sealed text.
 */
[[nodiscard]] std::string formatUsageReport(UsageWindow window, std::string_view digest, std::string_view figures, const LeaseHolder &reporter);

} // namespace guavafield
