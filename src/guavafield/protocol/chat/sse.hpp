// Server-sent events: reading an engine's stream and writing the caller's.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Data of the event that ends a stream. */
inline constexpr std::string_view sseDone = "[DONE]";

/*! @brief Reads events from bytes that arrive in pieces of any size. */
class SseParser
{
public:
    explicit SseParser(std::size_t maxEventBytes = std::size_t{1} << 20U) : m_maxEventBytes(maxEventBytes) { }

    /*!
     * @brief Takes more bytes.
     * @param bytes The next bytes of the stream.
     * @param events Receives the data of each event that is complete; several data lines are joined by line feeds.
     * @return False if an event exceeds the limit; the parser must not be used any further.
     */
    [[nodiscard]] bool feed(std::string_view bytes, std::vector<std::string> &events);

    /*! @brief Returns the size of the event whose end has not arrived. */
    [[nodiscard]] std::size_t heldBytes() const noexcept
    {
        return m_line.size() + m_data.size();
    }

private:
    void takeLine(std::string_view line, std::vector<std::string> &events);

    std::size_t m_maxEventBytes;
    // Bytes of a line whose end has not arrived.
    std::string m_line;
    std::string m_data;
    bool m_hasData{false};
};

/*! @brief Appends one event with this data. */
void appendSseEvent(std::string &text, std::string_view data);

} // namespace guavafield
