// The tool's commands: each sends its requests and prints its result.
#pragma once

#include "apps/guavafieldctl/item_fields.hpp"
#include "apps/guavafieldctl/operator_client.hpp"

#include <optional>
#include <string>

namespace guavafield::ctl {

/*! @brief What every command gets. */
struct CommandContext
{
    OperatorClient client;
    bool json{false};
};

void listItems(const CommandContext &context, const ItemKind &kind);
void showItem(const CommandContext &context, const ItemKind &kind, const std::string &id);
/*! @brief Creates an item; fails if there is one with this id. */
void createItem(const CommandContext &context, const ItemKind &kind, const std::string &id, const OptionValues &values);
/*! @brief Changes the given fields of an item. */
void changeItem(const CommandContext &context, const ItemKind &kind, const std::string &id, const OptionValues &values);
void removeItem(const CommandContext &context, const std::string &kind, const std::string &id);

void listKeys(const CommandContext &context);
/*! @brief Creates a key and prints its secret, which is not shown again. */
void createKey(const CommandContext &context, const std::string &team, const std::string &id);
void withdrawKey(const CommandContext &context, const std::string &id);

/*! @brief Prints the whole configuration as JSON. */
void showConfiguration(const CommandContext &context);
/*! @brief Checks a file without sending it; syntax, fields and the document's own rules only. */
void validateOffline(const CommandContext &context, const std::string &file);
/*!
 * @brief Sends a file with a change or a whole document.
 * @param expected Base revision; the document's own, or else the one in force, if not given.
 */
void sendFile(const CommandContext &context, const std::string &file, std::optional<std::uint64_t> expectedRevision, bool validateOnly);

void showStatus(const CommandContext &context);
/*! @brief Prints the counters that are not 0. */
void showCounters(const CommandContext &context);
/*! @brief Prints the refusals by code that are not 0. */
void showRefusals(const CommandContext &context);
void drain(const CommandContext &context);

} // namespace guavafield::ctl
