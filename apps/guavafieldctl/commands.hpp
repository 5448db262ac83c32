// Implementations of the guavafieldctl commands: each sends its requests to a host and prints the result.
#pragma once

#include "apps/guavafieldctl/item_fields.hpp"
#include "apps/guavafieldctl/operator_client.hpp"

#include <optional>
#include <string>

namespace guavafield::ctl {

/*! @brief Connection and output format that every command uses. */
struct CommandContext
{
    OperatorClient client;
    bool json{false};
};

void listItems(const CommandContext &context, const ItemKind &kind);
void showItem(const CommandContext &context, const ItemKind &kind, const std::string &id);
/*! @brief Creates an item; throws CommandError with Conflict if the id is taken. */
void createItem(const CommandContext &context, const ItemKind &kind, const std::string &id, const OptionValues &values);
/*! @brief Sets the given fields of an existing item and keeps the others. */
void changeItem(const CommandContext &context, const ItemKind &kind, const std::string &id, const OptionValues &values);
void removeItem(const CommandContext &context, const std::string &kind, const std::string &id);

void listKeys(const CommandContext &context);
/*! @brief Creates an API key and prints its secret, which cannot be retrieved later. */
void createKey(const CommandContext &context, const std::string &team, const std::string &id);
void withdrawKey(const CommandContext &context, const std::string &id);

/*! @brief Prints the whole configuration as JSON. */
void showConfiguration(const CommandContext &context);
/*! @brief Validates a file locally: syntax, fields and the rules that concern the document alone. */
void validateOffline(const CommandContext &context, const std::string &file);
/*!
 * @brief Sends a file that holds a change or a whole document.
 * @param expected Base revision; defaults to the revision in the document, or else to the one in force.
 */
void sendFile(const CommandContext &context, const std::string &file, std::optional<std::uint64_t> expected, bool validateOnly);

void showStatus(const CommandContext &context);
/*! @brief Prints the nonzero counters. */
void showCounters(const CommandContext &context);
/*! @brief Prints the nonzero refusal counters by code. */
void showRefusals(const CommandContext &context);
void drain(const CommandContext &context);

} // namespace guavafield::ctl
