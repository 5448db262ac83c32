// Field access with faults.
#include <guavafield/protocol/configuration/object_reader.hpp>

#include <algorithm>

namespace guavafield::internal {

namespace json = boost::json;

ObjectReader::ObjectReader(const json::value &value, std::string path, ConfigurationFaults &faults)
    : m_object(value.if_object()), m_path(std::move(path)), m_faults(&faults)
{
    if (m_object == nullptr) {
        faults.push_back({ResultCode::ConfigurationInvalid, m_path, "this has to be an object"});
    }
}

std::string ObjectReader::text(std::string_view name)
{
    const auto *value = takeRequired(name);
    if (value != nullptr && !value->is_string()) {
        addFault(name, "this has to be a text");
        return {};
    }
    return value == nullptr ? std::string() : std::string(value->get_string());
}

std::string ObjectReader::text(std::string_view name, std::string_view fallback)
{
    return has(name) ? text(name) : std::string(fallback);
}

bool ObjectReader::boolean(std::string_view name, bool fallback)
{
    const auto *value = take(name);
    if (value != nullptr && !value->is_bool()) {
        addFault(name, "this has to be true or false");
        return fallback;
    }
    return value == nullptr ? fallback : value->get_bool();
}

double ObjectReader::number(std::string_view name, std::optional<double> fallback)
{
    const auto *value = fallback ? take(name) : takeRequired(name);
    if (value != nullptr && !value->is_number()) {
        addFault(name, "this has to be a number");
    }
    return value == nullptr || !value->is_number() ? fallback.value_or(1) : value->to_number<double>();
}

std::uint64_t ObjectReader::integer(std::string_view name, std::optional<std::uint64_t> fallback, std::uint64_t largest)
{
    const auto *value = fallback ? take(name) : takeRequired(name);
    if (value == nullptr) {
        return fallback.value_or(1);
    }
    json::error_code ec;
    const auto result = value->to_number<std::uint64_t>(ec);
    if (ec || result > largest) {
        addFault(name, "this has to be a whole number from 0 to " + std::to_string(largest));
        return fallback.value_or(1);
    }
    return result;
}

std::vector<std::string> ObjectReader::texts(std::string_view name)
{
    std::vector<std::string> result;
    const auto *list = array(name);
    for (std::size_t n = 0; list != nullptr && n < list->size(); ++n) {
        const auto *text = (*list)[n].if_string();
        if (text == nullptr) {
            m_faults->push_back({ResultCode::ConfigurationInvalid, elementPath(name, n), "this has to be a text"});
        } else {
            result.emplace_back(*text);
        }
    }
    return result;
}

ObjectReader ObjectReader::object(std::string_view name)
{
    const auto *value = takeRequired(name);
    return value == nullptr ? ObjectReader(pathOf(name), *m_faults) : ObjectReader(*value, pathOf(name), *m_faults);
}

bool ObjectReader::has(std::string_view name) const
{
    return m_object != nullptr && m_object->contains({name.data(), name.size()});
}

void ObjectReader::addFault(std::string_view name, std::string message, ResultCode code)
{
    m_faults->push_back({code, pathOf(name), std::move(message)});
}

void ObjectReader::finish()
{
    if (m_object == nullptr) {
        return;
    }
    for (const auto &it : *m_object) {
        const std::string_view name(it.key().data(), it.key().size());
        if (std::ranges::find(m_read, name) == m_read.end()) {
            addFault(name, "this field is unknown", ResultCode::ConfigurationUnknownField);
        }
    }
}

const json::value *ObjectReader::take(std::string_view name)
{
    m_read.push_back(name);
    return m_object == nullptr ? nullptr : m_object->if_contains({name.data(), name.size()});
}

const json::value *ObjectReader::takeRequired(std::string_view name)
{
    const auto *value = take(name);
    if (value == nullptr && m_object != nullptr) {
        addFault(name, "this field is missing");
    }
    return value;
}

const json::array *ObjectReader::array(std::string_view name)
{
    const auto *value = take(name);
    if (value != nullptr && !value->is_array()) {
        addFault(name, "this has to be a list");
    }
    return value == nullptr ? nullptr : value->if_array();
}

std::string ObjectReader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : std::string(m_path).append(".").append(name);
}

std::string ObjectReader::elementPath(std::string_view name, std::size_t index) const
{
    return pathOf(name).append("[").append(std::to_string(index)).append("]");
}

json::value parseJson(std::string_view text, ConfigurationFaults &faults)
{
    json::error_code ec;
    json::stream_parser parser;
    const auto read = parser.write_some(text.data(), text.size(), ec);
    if (!ec && read == text.size()) {
        parser.finish(ec);
    }
    if (ec || read != text.size()) {
        const auto reason = ec ? ec.message() : std::string("text after the end of the document");
        faults.push_back({ResultCode::ConfigurationInvalid, "offset " + std::to_string(read), "this is not JSON: " + reason});
        return nullptr;
    }
    return parser.release();
}

} // namespace guavafield::internal
