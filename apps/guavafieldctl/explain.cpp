// Selects and sorts log lines and derives the cause from the line that ends the request, or else from the latest one.
#include "apps/guavafieldctl/explain.hpp"

#include <guavafield/state/result.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>

namespace guavafield::ctl {

namespace internal {

// Returns the first timestamp in a line, e.g. 2026-03-10T01:46:27.000, or an empty view.
std::string_view findTimestamp(std::string_view line)
{
    constexpr std::string_view pattern = "0000-00-00T00:00:00.000";
    for (std::size_t n = 0; n + pattern.size() <= line.size(); ++n) {
        const auto part = line.substr(n, pattern.size());
        const bool matches = std::equal(part.begin(), part.end(), pattern.begin(), [](char it, char expected) {
            return expected == '0' ? std::isdigit(static_cast<unsigned char>(it)) != 0 : it == expected;
        });
        if (matches) {
            return part;
        }
    }
    return {};
}

bool containsWord(std::string_view line, std::string_view word)
{
    for (auto at = line.find(word); at != std::string_view::npos; at = line.find(word, at + 1)) {
        const auto end = at + word.size();
        if ((at == 0 || line[at - 1] == ' ') && (end == line.size() || line[end] == ' ')) {
            return true;
        }
    }
    return false;
}

// Returns the value of a name=value field, without quotes, or an empty view.
std::string_view fieldValue(std::string_view line, std::string_view name)
{
    const auto key = " " + std::string(name) + "=";
    const auto at = line.find(key);
    if (at == std::string_view::npos) {
        return {};
    }
    auto value = line.substr(at + key.size());
    if (value.starts_with('"')) {
        value.remove_prefix(1);
        return value.substr(0, value.find('"'));
    }
    return value.substr(0, value.find(' '));
}

std::optional<ResultCode> parseResultCode(std::string_view line)
{
    const auto text = fieldValue(line, "code");
    unsigned number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || ec != std::errc()) {
        return std::nullopt;
    }
    const auto codes = resultCodes();
    const auto it = std::ranges::find(codes, static_cast<ResultCode>(number), &ResultCodeInfo::code);
    return it == codes.end() ? std::nullopt : std::optional(it->code);
}

} // namespace internal

void Explanation::addLine(std::string_view line)
{
    const Line entry{std::string(internal::findTimestamp(line)), std::string(line)};
    if (internal::containsWord(line, m_requestField)) {
        m_lines.push_back(entry);
    } else if (line.find("fleet: upstream ") != std::string_view::npos) {
        m_upstreamLines.push_back(entry);
    }
}

bool Explanation::write(std::ostream &output) const
{
    std::set<std::string, std::less<>> upstreams;
    for (const auto &it : m_lines) {
        upstreams.emplace(internal::fieldValue(it.text, "upstream"));
    }
    auto selected = m_lines;
    std::ranges::copy_if(
        m_upstreamLines, std::back_inserter(selected), [&](const Line &it) { return upstreams.contains(internal::fieldValue(it.text, "upstream")); });
    std::ranges::stable_sort(selected, {}, &Line::timestamp);
    for (const auto &it : selected) {
        output << it.text << "\n";
    }
    if (!m_lines.empty()) {
        output << "cause: " << cause() << "\n";
    }
    return !m_lines.empty();
}

std::string Explanation::cause() const
{
    const auto latest = std::ranges::max_element(m_lines, {}, &Line::timestamp);
    const auto endLine = std::ranges::find_if(m_lines, [](const Line &it) { return it.text.find(" ended, ") != std::string::npos; });
    const auto &line = endLine != m_lines.end() ? endLine->text : latest->text;
    std::string text = endLine != m_lines.end() ? std::string(internal::fieldValue(line, "outcome")) : "no end is on record";
    if (const auto code = internal::parseResultCode(line); code && *code != ResultCode::Ok) {
        text += ", " + std::string(describe(*code).name) + ": " + std::string(describe(*code).meaning);
    }
    for (const auto &it : m_lines) {
        if (it.text.find("attempt failed") != std::string::npos) {
            text += "; attempt " + std::string(internal::fieldValue(it.text, "attempt")) + " at " + std::string(internal::fieldValue(it.text, "upstream"))
                + ": " + std::string(internal::fieldValue(it.text, "cause"));
        }
    }
    return text;
}

bool explainRequest(const std::string &requestId, const std::vector<std::string> &files)
{
    Explanation explanation(requestId);
    const auto read = [&](std::istream &input) {
        std::string line;
        while (std::getline(input, line)) {
            explanation.addLine(line);
        }
    };
    for (const auto &it : files) {
        std::ifstream file(it);
        if (!file) {
            std::cerr << "guavafieldctl: " << it << ": cannot be read\n";
        }
        read(file);
    }
    if (files.empty()) {
        read(std::cin);
    }
    return explanation.write(std::cout);
}

} // namespace guavafield::ctl
