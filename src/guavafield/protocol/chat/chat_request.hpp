// Chat and completion requests of callers, and the body that an engine receives for them.
#pragma once

#include <guavafield/state/result.hpp>
#include <guavafield/state/types.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

enum class ModelEndpoint : std::uint8_t {
    Chat,
    Completion,
};

/*! @brief Returns the path of an endpoint, for callers and engines alike. */
[[nodiscard]] std::string_view pathOf(ModelEndpoint endpoint) noexcept;

/*! @brief A request for a model as its caller sent it. */
struct ChatRequest
{
    ModelEndpoint endpoint{ModelEndpoint::Chat};
    ModelId model;
    bool stream{false};
    // Another engine can continue the answer from the delivered text.
    bool resumable{false};
    // Limit given by the caller; 0 means none.
    std::uint32_t maxOutputTokens{0};
    // Texts of all messages in order, or the prompt of a completion.
    std::string prompt;
    // The parsed body without the fields that only the daemon may set.
    boost::json::object body;
};

/*!
 * @brief Reads the body of a request.
 * @param endpoint Decides where the prompt is.
 * @param body JSON text.
 * @return The request, or RequestMalformed with the place of the fault.
 */
[[nodiscard]] Result<ChatRequest> parseChatRequest(ModelEndpoint endpoint, std::string_view body);

/*! @brief Returns the prompt, or the contents of all messages with a line feed after each; prefix hashes are computed on it. */
[[nodiscard]] std::string promptText(const boost::json::object &body);

/*! @brief Estimates a number of tokens as a quarter of the bytes, at least 1 for a non-empty text. */
[[nodiscard]] std::uint32_t estimateTokens(std::size_t bytes) noexcept;

/*! @brief Bytes of a block of the prompt, as engines count them in their cache events. */
inline constexpr std::size_t prefixBlockBytes = 64;
/*! @brief Prompts are hashed up to this number of blocks, so that a long prompt costs a bounded time. */
inline constexpr std::size_t maxPrefixBlocks = 128;

/*!
 * @brief Hashes the leading whole blocks of a prompt.
 * @return One hash a block, shortest prefix first: the 64-bit XXH3 hash of everything up to the end of the block.
 */
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

/*! @brief Where another engine continues an answer. */
struct ResumePoint
{
    RequestId request;
    // Tokens already delivered.
    std::uint32_t tokens{0};
    std::string text;
};

/*!
 * @brief Writes the body for an engine.
 * @param request The caller's request.
 * @param priority 0 is the highest.
 * @param resume Set when part of the answer has been delivered.
 */
[[nodiscard]] std::string formatEngineBody(const ChatRequest &request, std::uint8_t priority, const ResumePoint *resume);

/*! @brief Returns the output tokens that a whole answer states in its usage, or an estimate from its length. */
[[nodiscard]] std::uint32_t outputTokensOf(std::string_view answer);

} // namespace guavafield
