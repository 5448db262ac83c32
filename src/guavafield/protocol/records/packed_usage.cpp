// Packed form of usage figures.
#include <guavafield/protocol/records/packed_usage.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace guavafield::internal {

namespace {

void appendNumber(std::string &bytes, std::uint64_t number)
{
    for (; number >= 0x80; number >>= 7U) {
        bytes.push_back(static_cast<char>(0x80U | (number & 0x7fU)));
    }
    bytes.push_back(static_cast<char>(number));
}

void appendText(std::string &bytes, std::string_view text)
{
    appendNumber(bytes, text.size());
    bytes.append(text);
}

// Reads what the functions above append; after a fault every read fails.
class PackedReader
{
public:
    explicit PackedReader(std::string_view bytes) : m_rest(bytes) { }

    std::uint64_t number()
    {
        std::uint64_t number = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            if (m_rest.empty()) {
                break;
            }
            const auto byte = static_cast<unsigned char>(m_rest.front());
            m_rest.remove_prefix(1);
            number |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
            if (byte < 0x80U) {
                return number;
            }
        }
        m_failed = true;
        return 0;
    }

    std::string_view text()
    {
        const auto size = number();
        if (m_failed || size > m_rest.size()) {
            m_failed = true;
            return {};
        }
        const auto text = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return text;
    }

    std::vector<std::string> texts()
    {
        std::vector<std::string> list;
        for (auto count = number(); count > 0 && !m_failed; --count) {
            list.emplace_back(text());
        }
        return list;
    }

    void fail()
    {
        m_failed = true;
    }

    [[nodiscard]] bool failed() const
    {
        return m_failed;
    }

    [[nodiscard]] bool finished() const
    {
        return !m_failed && m_rest.empty();
    }

private:
    std::string_view m_rest;
    bool m_failed{false};
};

void appendTexts(std::string &bytes, const std::set<std::string> &texts)
{
    appendNumber(bytes, texts.size());
    for (const auto &it : texts) {
        appendText(bytes, it);
    }
}

std::size_t sharedLength(std::string_view left, std::string_view right)
{
    return static_cast<std::size_t>(std::mismatch(left.begin(), left.end(), right.begin(), right.end()).first - left.begin());
}

} // namespace

std::string packUsage(const UsageFigures &figures)
{
    std::set<std::string> classes;
    std::set<std::string> models;
    for (const auto &[subject, counts] : figures) {
        classes.insert(subject.className);
        models.insert(subject.model);
    }
    std::string bytes;
    appendTexts(bytes, classes);
    appendTexts(bytes, models);
    std::string_view previous;
    for (const auto &[subject, counts] : figures) {
        const auto shared = sharedLength(previous, subject.team);
        appendNumber(bytes, shared);
        appendText(bytes, std::string_view(subject.team).substr(shared));
        const auto classIndex = static_cast<std::size_t>(std::distance(classes.begin(), classes.find(subject.className)));
        const auto modelIndex = static_cast<std::size_t>(std::distance(models.begin(), models.find(subject.model)));
        appendNumber(bytes, classIndex * models.size() + modelIndex);
        appendNumber(bytes, counts.requests);
        appendNumber(bytes, counts.promptTokens);
        appendNumber(bytes, counts.outputTokens);
        previous = subject.team;
    }
    return bytes;
}

std::optional<UsageFigures> unpackUsage(std::string_view packed)
{
    PackedReader reader(packed);
    const auto classes = reader.texts();
    const auto models = reader.texts();
    UsageFigures figures;
    std::string team;
    while (!reader.failed() && !reader.finished()) {
        const auto shared = reader.number();
        const auto rest = reader.text();
        const auto index = reader.number();
        const UsageCounts counts{reader.number(), reader.number(), reader.number()};
        if (shared > team.size() || index >= classes.size() * models.size()) {
            reader.fail();
        }
        if (!reader.failed()) {
            team.resize(shared);
            team.append(rest);
            figures[{team, classes[index / models.size()], models[index % models.size()]}] += counts;
        }
    }
    return reader.finished() ? std::optional(std::move(figures)) : std::nullopt;
}

} // namespace guavafield::internal
