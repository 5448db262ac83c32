// Options that set the fields of items, one list a kind.
#pragma once

#include <CLI/CLI.hpp>

#include <boost/json/object.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::ctl {

/*! @brief How the text of an option becomes JSON. */
enum class FieldType : std::uint8_t {
    Text,
    Number,
    Boolean,
    // The option may be repeated.
    TextList,
    // NAME:TIER:TTFT_MS:TOTAL_MS, may be repeated.
    ClassList,
    // ADDRESS:PORT, sets the two fields.
    Address,
};

/*! @brief An option that sets a field. */
struct ItemField
{
    std::string_view option;
    // Path in the item, e.g. "contract.tier".
    std::string_view path;
    FieldType type;
    std::string_view help;
};

/*! @brief A kind of items as the tool shows and changes it. */
struct ItemKind
{
    // As in documents.
    std::string_view name;
    std::string_view singular;
    std::string_view help;
    std::string_view example;
    std::span<const ItemField> fields;
    // Paths shown by list.
    std::span<const std::string_view> columns;
};

/*! @brief Returns teams, models, routes and upstreams. */
[[nodiscard]] std::span<const ItemKind> itemKinds() noexcept;

/*! @brief Texts given for the fields of one kind; empty lists were not given. */
using OptionValues = std::vector<std::vector<std::string>>;

/*! @brief Adds the options of a kind to a command; their texts end up in texts. */
void addFieldOptions(CLI::App &command, const ItemKind &kind, OptionValues &values);

/*! @brief Sets the given fields of an item; throws CommandError if a text does not fit its field. */
void setFields(boost::json::object &item, const ItemKind &kind, const OptionValues &values);

} // namespace guavafield::ctl
