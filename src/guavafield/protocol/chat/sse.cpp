// Line-wise reader and writer of server-sent events.
#include <guavafield/protocol/chat/sse.hpp>

#include <utility>

namespace guavafield {

bool SseParser::feed(std::string_view bytes, std::vector<std::string> &events)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        m_line.append(bytes.substr(0, end));
        if (m_line.size() + m_data.size() > m_maxEventBytes) {
            return false;
        }
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        if (m_line.ends_with('\r')) {
            m_line.pop_back();
        }
        takeLine(m_line, events);
        m_line.clear();
    }
    return true;
}

void SseParser::takeLine(std::string_view line, std::vector<std::string> &events)
{
    constexpr std::string_view field = "data:";
    if (line.empty()) {
        if (m_hasData) {
            events.push_back(std::exchange(m_data, {}));
            m_hasData = false;
        }
        return;
    }
    if (!line.starts_with(field)) {
        return;
    }
    line.remove_prefix(field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (m_hasData) {
        m_data += '\n';
    }
    m_data.append(line);
    m_hasData = true;
}

void appendSseEvent(std::string &text, std::string_view data)
{
    while (true) {
        const auto end = data.find('\n');
        text.append("data: ").append(data.substr(0, end)).append("\n");
        if (end == std::string_view::npos) {
            break;
        }
        data.remove_prefix(end + 1);
    }
    text.append("\n");
}

} // namespace guavafield
