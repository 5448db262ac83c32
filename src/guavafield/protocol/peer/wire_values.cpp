// Conversions and checks of single values.
#include <guavafield/protocol/peer/wire_values.hpp>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace guavafield::internal {

std::uint32_t toWire(Milliseconds age)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

void require(bool holds, const char *fault)
{
    if (!holds) {
        throw std::invalid_argument(fault);
    }
}

} // namespace guavafield::internal
