// Log lines on standard output, one line an event, bounded and never blocking.
#pragma once

#include <cstdint>
#include <string_view>

namespace guavafield {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/*!
 * @brief Sets up easylogging++; call once at start, before other threads log.
 * @param lowest Lines below this level are not written.
 */
void setUpLogging(LogLevel lowest);

/*!
 * @brief Writes one line.
 * @param component Prefix of the component, e.g. "http:".
 * @param request Id of the request; empty where the event concerns none.
 * @param text A short sentence; line breaks are replaced, since callers' text may be part of it.
 */
void logEvent(LogLevel level, std::string_view component, std::string_view request, std::string_view text);

} // namespace guavafield
