// Reads the fields of a JSON object and lists every fault with its path.
#pragma once

#include <guavafield/coordination/configuration/configuration_change.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::internal {

/*!
 * @brief Reads one object; after the last field, finish() reports the fields that were not asked for.
 *
 * A read that fails adds a fault and returns the fallback, so that one pass lists all faults.
 */
class ObjectReader
{
public:
    /*! @brief A value that is not an object is itself a fault. */
    ObjectReader(const boost::json::value &value, std::string path, ConfigurationFaults &faults);

    /*! @brief Reads a text that has to be there. */
    [[nodiscard]] std::string text(std::string_view name);
    [[nodiscard]] std::string text(std::string_view name, std::string_view fallback);
    [[nodiscard]] bool boolean(std::string_view name, bool fallback);
    /*! @brief Reads a number; without a fallback it has to be there. */
    [[nodiscard]] double number(std::string_view name, std::optional<double> fallback = std::nullopt);
    [[nodiscard]] std::uint64_t
    integer(std::string_view name, std::optional<std::uint64_t> fallback = std::nullopt, std::uint64_t largest = std::numeric_limits<std::int64_t>::max());
    [[nodiscard]] std::vector<std::string> texts(std::string_view name);

    /*! @brief Calls a visitor with a reader of each object of a list; a missing list is empty. */
    template <typename Visitor>
    void objects(std::string_view name, Visitor &&visitor)
    {
        const auto *list = array(name);
        for (std::size_t n = 0; list != nullptr && n < list->size(); ++n) {
            ObjectReader element((*list)[n], elementPath(name, n), *m_faults);
            visitor(element);
            element.finish();
        }
    }

    /*! @brief Returns a reader of an object that has to be there. */
    [[nodiscard]] ObjectReader object(std::string_view name);
    /*! @brief Returns a field that the caller reads on its own; null if it is missing. */
    [[nodiscard]] const boost::json::value *value(std::string_view name)
    {
        return take(name);
    }
    [[nodiscard]] bool has(std::string_view name) const;
    /*! @brief Adds a fault at a field. */
    void addFault(std::string_view name, std::string message, ResultCode code = ResultCode::ConfigurationInvalid);
    /*! @brief Adds a fault for each field that was not read. */
    void finish();

private:
    /*! @brief Stands for a missing object, whose fault has been added. */
    ObjectReader(std::string path, ConfigurationFaults &faults) : m_object(nullptr), m_path(std::move(path)), m_faults(&faults) { }

    [[nodiscard]] const boost::json::value *take(std::string_view name);
    [[nodiscard]] const boost::json::value *takeRequired(std::string_view name);
    [[nodiscard]] const boost::json::array *array(std::string_view name);
    [[nodiscard]] std::string pathOf(std::string_view name) const;
    [[nodiscard]] std::string elementPath(std::string_view name, std::size_t index) const;

    // Null if the value is missing or not an object.
    const boost::json::object *m_object;
    std::string m_path;
    ConfigurationFaults *m_faults;
    std::vector<std::string_view> m_read;
};

/*! @brief Parses a JSON text; a syntax error becomes a fault that names the offset. */
[[nodiscard]] boost::json::value parseJson(std::string_view text, ConfigurationFaults &faults);

} // namespace guavafield::internal
