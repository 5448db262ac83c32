// JSON of one item of each kind.
#pragma once

#include <guavafield/protocol/configuration/object_reader.hpp>
#include <guavafield/state/configuration.hpp>

#include <boost/json/object.hpp>

namespace guavafield::internal {

/*! @brief Reads and writes items of one kind; read() leaves finish() to the caller. */
template <typename Item>
struct ItemJson
{
    [[nodiscard]] static Item read(ObjectReader &reader);
    [[nodiscard]] static boost::json::object write(const Item &item);
};

} // namespace guavafield::internal
