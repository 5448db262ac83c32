// Formats aligned text tables and indented JSON.
#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace guavafield::ctl {

/*! @brief Column headings and rows of a table; each row has as many cells as the heading. */
struct TextTable
{
    std::vector<std::string> heading;
    std::vector<std::vector<std::string>> rows;
};

/*! @brief Formats a table with aligned columns. */
[[nodiscard]] std::string format(const TextTable &table);

/*! @brief Formats JSON with one member or element per line. */
[[nodiscard]] std::string formatIndented(const boost::json::value &value);

/*! @brief Returns the member at a dot-separated path, e.g. "contract.tier", as text, or "-" if it does not exist. */
[[nodiscard]] std::string cellText(const boost::json::value &value, std::string_view path);

} // namespace guavafield::ctl
