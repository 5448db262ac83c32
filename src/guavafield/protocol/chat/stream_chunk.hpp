// Chunks of an engine's stream and the check of their token numbers.
#pragma once

#include <guavafield/state/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavafield {

/*! @brief What the daemon reads from a chunk. */
struct StreamChunk
{
    // Token number from 0; chunks without a token, e.g. the role or the usage, have none.
    std::optional<std::uint32_t> index;
    std::string text;
    // The engine gives the reason why the answer ends here.
    bool finished{false};
    // The engine reports that it cannot go on.
    bool error{false};
};

/*! @brief Reads the data of an event; UpstreamFailed if it is no JSON object. */
[[nodiscard]] Result<StreamChunk> parseStreamChunk(std::string_view data);

/*! @brief Tracks the token numbers of one answer across the attempts that produce it. */
class TokenSequence
{
public:
    enum class Verdict : std::uint8_t {
        Deliver,
        // Belongs to the start of an answer whose start the caller already has.
        Skip,
        // A repeat, a gap or a token without a number; must not be delivered.
        OutOfSequence,
    };

    /*! @brief Starts an attempt, which has to continue with the next token. */
    void beginAttempt() noexcept
    {
        m_tokenSeen = false;
    }

    /*! @brief Checks a chunk and counts its token. */
    [[nodiscard]] Verdict accept(const StreamChunk &chunk);

    /*! @brief Returns the number of tokens accepted. */
    [[nodiscard]] std::uint32_t tokens() const noexcept
    {
        return m_tokens;
    }
    /*! @brief Returns the text of the tokens accepted. */
    [[nodiscard]] const std::string &text() const noexcept
    {
        return m_text;
    }

private:
    std::uint32_t m_tokens{0};
    std::string m_text;
    bool m_started{false};
    // In the current attempt.
    bool m_tokenSeen{false};
};

} // namespace guavafield
