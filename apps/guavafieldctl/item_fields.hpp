// Command-line options that set the fields of each kind of configuration item.
#pragma once

#include <CLI/CLI.hpp>

#include <boost/json/object.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::ctl {

/*! @brief Conversion of an option's text to JSON. */
enum class FieldType : std::uint8_t {
    Text,
    Number,
    Boolean,
    // The option may be repeated.
    TextList,
    // NAME:TIER:TTFT_MS:TOTAL_MS; the option may be repeated.
    ClassList,
    // ADDRESS:PORT; sets the address and port fields.
    Address,
};

/*! @brief Maps a command-line option to a field of an item. */
struct ItemField
{
    std::string_view option;
    // Dot-separated path in the item, e.g. "contract.tier".
    std::string_view path;
    FieldType type;
    std::string_view help;
};

/*! @brief Describes a kind of configuration item: its names, help, editable fields and listed columns. */
struct ItemKind
{
    // Plural name, as used in configuration documents.
    std::string_view name;
    std::string_view singular;
    std::string_view help;
    std::string_view example;
    std::span<const ItemField> fields;
    // Paths of the columns that the list command shows.
    std::span<const std::string_view> columns;
};

/*! @brief Returns the descriptions of teams, models, routes and upstreams. */
[[nodiscard]] std::span<const ItemKind> itemKinds() noexcept;

/*! @brief Option values in the order of ItemKind::fields; the list of an option that was not given is empty. */
using OptionValues = std::vector<std::vector<std::string>>;

/*! @brief Adds the options of a kind to a command; parsing stores their values in values, which must outlive the command. */
void addFieldOptions(CLI::App &command, const ItemKind &kind, OptionValues &values);

/*! @brief Sets the given fields of an item; throws CommandError if a value cannot be converted. */
void setFields(boost::json::object &item, const ItemKind &kind, const OptionValues &values);

} // namespace guavafield::ctl
