// Helpers that read fields of row values; a wrong type throws, and decodeRecord() turns that into an empty result.
#pragma once

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace guavafield::internal {

/*! @brief Parses a JSON object and fills a record from it; empty if the text or a field is malformed. */
template <typename Record, typename Function>
[[nodiscard]] std::optional<Record> decodeRecord(std::string_view text, Function &&fill)
{
    boost::system::error_code ec;
    const auto value = boost::json::parse(text, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    try {
        std::optional<Record> record(std::in_place);
        fill(value.get_object(), *record);
        return record;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

[[nodiscard]] inline std::string textField(const boost::json::object &object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

template <typename Number>
[[nodiscard]] Number numberField(const boost::json::object &object, std::string_view name)
{
    return object.at(name).to_number<Number>();
}

/*! @brief Returns the value, or throws if there is none. */
template <typename Value>
[[nodiscard]] Value required(std::optional<Value> value)
{
    if (!value) {
        throw std::invalid_argument("malformed field");
    }
    return std::move(*value);
}

/*! @brief Reads the field "state", whose texts are listed in the order of the enumerators. */
template <typename State, std::size_t count>
[[nodiscard]] State stateField(const boost::json::object &object, const std::array<std::string_view, count> &names)
{
    const auto it = std::ranges::find(names, std::string_view(object.at("state").as_string()));
    if (it == names.end()) {
        throw std::invalid_argument("unknown state");
    }
    return static_cast<State>(it - names.begin());
}

} // namespace guavafield::internal
