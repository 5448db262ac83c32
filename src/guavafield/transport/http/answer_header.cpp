// Search for folded lines.
#include <guavafield/transport/http/answer_header.hpp>

namespace guavafield::internal {

bool hasFoldedLine(std::string_view received) noexcept
{
    // The parser takes whole lines out of the buffer, so that it may begin with the empty line that ends the header.
    if (received.starts_with("\r\n")) {
        return false;
    }
    const auto header = received.substr(0, received.find("\r\n\r\n"));
    return header.find("\r\n ") != std::string_view::npos || header.find("\r\n\t") != std::string_view::npos;
}

} // namespace guavafield::internal
