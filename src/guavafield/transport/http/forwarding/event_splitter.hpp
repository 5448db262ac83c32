// Cuts a stream of server-sent events into whole events without changing their bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Takes bytes in pieces of any size and returns whole events. */
class EventSplitter
{
public:
    explicit EventSplitter(std::size_t maxEventBytes = std::size_t{1} << 20U) : m_maxEventBytes(maxEventBytes) { }

    /*!
     * @brief Takes more bytes.
     * @param events Receives each event that is complete, with the blank line that ends it.
     * @return False if an event exceeds the limit; the splitter must not be used any further.
     */
    [[nodiscard]] bool feed(std::string_view bytes, std::vector<std::string> &events);

    /*! @brief Returns the size of the event whose end has not arrived. */
    [[nodiscard]] std::size_t heldBytes() const noexcept
    {
        return m_pending.size();
    }

    /*! @brief Returns whether bytes of an event have arrived whose end has not. */
    [[nodiscard]] bool insideEvent() const noexcept
    {
        return !m_pending.empty();
    }

private:
    std::size_t m_maxEventBytes;
    std::string m_pending;
    // Bytes of m_pending that cannot begin the end of the event.
    std::size_t m_searched{0};
};

/*! @brief Returns whether an event has a data field; comments and empty events have none. */
[[nodiscard]] bool hasData(std::string_view event) noexcept;

/*! @brief Returns the number in the id field of an event; empty if it has none. */
[[nodiscard]] std::optional<std::uint64_t> eventId(std::string_view event) noexcept;

} // namespace guavafield
