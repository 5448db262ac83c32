// Search for the blank lines between events.
#include <guavafield/transport/http/forwarding/event_splitter.hpp>

#include <algorithm>
#include <charconv>

namespace guavafield {

namespace internal {

// Memory that a stream keeps after a large event.
constexpr std::size_t keptCapacity = std::size_t{32} * 1024;

// Returns the length of the first event with its blank line; 0 if its end has not arrived.
std::size_t eventLength(std::string_view text, std::size_t from) noexcept
{
    for (auto end = text.find('\n', from); end != std::string_view::npos; end = text.find('\n', end + 1)) {
        const auto rest = text.substr(end + 1);
        if (rest.starts_with('\n')) {
            return end + 2;
        }
        if (rest.starts_with("\r\n")) {
            return end + 3;
        }
    }
    return 0;
}

} // namespace internal

bool EventSplitter::feed(std::string_view bytes, std::vector<std::string> &events)
{
    // The end of an event has up to three bytes, so the last two may belong to it.
    constexpr std::size_t endBytes = 2;
    m_pending.append(bytes);
    std::size_t taken = 0;
    while (true) {
        const auto rest = std::string_view(m_pending).substr(taken);
        const auto n = internal::eventLength(rest, taken == 0 ? m_searched : 0);
        if (n == 0) {
            break;
        }
        events.emplace_back(rest.substr(0, n));
        taken += n;
    }
    m_pending.erase(0, taken);
    if (m_pending.capacity() > internal::keptCapacity && m_pending.size() <= internal::keptCapacity) {
        m_pending.shrink_to_fit();
    }
    m_searched = m_pending.size() - std::min(endBytes, m_pending.size());
    return m_pending.size() <= m_maxEventBytes;
}

bool hasData(std::string_view event) noexcept
{
    constexpr std::string_view field = "data";
    return event.starts_with(field) || event.find("\ndata") != std::string_view::npos;
}

std::optional<std::uint64_t> eventId(std::string_view event) noexcept
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [last, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
        return ec == std::errc() ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace guavafield
