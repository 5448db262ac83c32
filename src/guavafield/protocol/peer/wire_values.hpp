// Conversions and checks that the codecs of the peers' datagrams share.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstddef>
#include <cstdint>

namespace guavafield::internal {

inline constexpr std::size_t maxListItems = 64;

/*! @brief Returns an age in milliseconds, limited to what a message can hold. */
[[nodiscard]] std::uint32_t toWire(Milliseconds age);

/*! @brief Throws std::invalid_argument with the fault if the condition does not hold. */
void require(bool holds, const char *fault);

/*! @brief Returns a list of a message; throws if it is longer than a genuine one. */
template <typename List>
[[nodiscard]] List limited(List list)
{
    require(list.size() <= maxListItems, "list is too long");
    return list;
}

} // namespace guavafield::internal
