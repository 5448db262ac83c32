// Column alignment, JSON indentation and conversion of values to table cells.
#include "apps/guavafieldctl/table_output.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace guavafield::ctl {

namespace json = boost::json;

namespace {

constexpr std::size_t columnSpacing = 2;
constexpr std::size_t indentWidth = 2;

void appendRow(std::string &text, const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    for (std::size_t n = 0; n < cells.size(); ++n) {
        text += cells[n];
        if (n + 1 < cells.size()) {
            text.append(widths[n] - cells[n].size() + columnSpacing, ' ');
        }
    }
    text += '\n';
}

void appendIndented(std::string &text, const json::value &value, std::size_t depth)
{
    const auto newLine = [&text](std::size_t level) { text.append("\n").append(level * indentWidth, ' '); };
    const auto *object = value.if_object();
    const auto *array = value.if_array();
    if (object != nullptr && !object->empty()) {
        const char *separator = "{";
        for (const auto &it : *object) {
            text += separator;
            newLine(depth + 1);
            text.append(json::serialize(it.key())).append(": ");
            appendIndented(text, it.value(), depth + 1);
            separator = ",";
        }
        newLine(depth);
        text += '}';
    } else if (array != nullptr && !array->empty()) {
        const char *separator = "[";
        for (const auto &it : *array) {
            text += separator;
            newLine(depth + 1);
            appendIndented(text, it, depth + 1);
            separator = ",";
        }
        newLine(depth);
        text += ']';
    } else {
        text += json::serialize(value);
    }
}

std::string joinElements(const json::array &list)
{
    std::string text;
    for (const auto &it : list) {
        text += text.empty() ? "" : ",";
        // Objects, such as the classes of a contract, are represented by their name.
        text += it.is_object() ? cellText(it, "name") : cellText(it, {});
    }
    return text.empty() ? "-" : text;
}

} // namespace

std::string format(const TextTable &table)
{
    std::vector<std::size_t> widths(table.heading.size(), 0);
    const auto widen = [&widths](const std::vector<std::string> &cells) {
        for (std::size_t n = 0; n < cells.size(); ++n) {
            widths[n] = std::max(widths[n], cells[n].size());
        }
    };
    widen(table.heading);
    std::ranges::for_each(table.rows, widen);
    std::string text;
    appendRow(text, table.heading, widths);
    for (const auto &it : table.rows) {
        appendRow(text, it, widths);
    }
    return text;
}

std::string formatIndented(const json::value &value)
{
    std::string text;
    appendIndented(text, value, 0);
    return text + "\n";
}

std::string cellText(const json::value &value, std::string_view path)
{
    if (!path.empty()) {
        const auto end = path.find('.');
        const auto name = path.substr(0, end);
        const auto *object = value.if_object();
        const auto *member = object == nullptr ? nullptr : object->if_contains({name.data(), name.size()});
        return member == nullptr ? "-" : cellText(*member, end == std::string_view::npos ? std::string_view() : path.substr(end + 1));
    }
    if (const auto *text = value.if_string()) {
        return text->empty() ? "-" : std::string(*text);
    }
    if (const auto *list = value.if_array()) {
        return joinElements(*list);
    }
    if (value.is_bool()) {
        return value.get_bool() ? "yes" : "no";
    }
    if (value.is_double()) {
        // JSON serialization would print the longer exponent form.
        auto text = std::to_string(value.get_double());
        text.erase(text.find_last_not_of('0') + 1);
        return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
    }
    return value.is_null() ? "-" : json::serialize(value);
}

} // namespace guavafield::ctl
