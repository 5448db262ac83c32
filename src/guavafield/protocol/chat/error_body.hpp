// Bodies of refusals and errors for callers.
#pragma once

#include <guavafield/state/result.hpp>
#include <guavafield/state/types.hpp>

#include <optional>
#include <string>

namespace guavafield {

/*! @brief A refusal or an error as the caller receives it. */
struct ErrorReply
{
    ResultCode code{ResultCode::RequestMalformed};
    // Added to the meaning of the code; may be empty.
    std::string detail;
    RequestId requestId;
    // Nothing was sent to an upstream, now or later.
    bool notRun{true};
    // When a repeat is worth trying; empty where a repeat does not help.
    std::optional<Milliseconds> retryAfter;
};

/*! @brief Writes the JSON body. */
[[nodiscard]] std::string formatErrorBody(const ErrorReply &reply);
/*! @brief Writes the event that ends a broken stream. */
[[nodiscard]] std::string formatErrorEvent(const ErrorReply &reply);
/*! @brief Returns the name of a code as callers see it, e.g. "key_withdrawn". */
[[nodiscard]] std::string errorName(ResultCode code);
/*! @brief Returns the value of a Retry-After header: whole seconds, rounded up, at least 1. */
[[nodiscard]] unsigned retryAfterSeconds(Milliseconds delay) noexcept;
/*! @brief Returns the value of a Retry-After header for callers that take fractions of seconds, e.g. "0.250". */
[[nodiscard]] std::string fractionalSeconds(Milliseconds delay);

} // namespace guavafield
