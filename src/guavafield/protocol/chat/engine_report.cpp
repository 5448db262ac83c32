// Reading of engines' reports with Boost.JSON.
#include <guavafield/protocol/chat/engine_report.hpp>

#include <boost/json/parse.hpp>

#include <charconv>
#include <cmath>
#include <string>

namespace guavafield {

namespace internal {

Result<boost::json::object> parseReport(std::string_view text)
{
    boost::system::error_code ec;
    auto value = boost::json::parse(text, ec);
    if (ec || !value.is_object()) {
        return fail(ResultCode::UpstreamFailed, "the report is no JSON object");
    }
    return std::move(value.get_object());
}

template <typename Number>
Result<Number> reportNumber(const boost::json::object &report, std::string_view name)
{
    const auto *value = report.if_contains(name);
    boost::system::error_code ec;
    const auto number = value != nullptr ? value->to_number<Number>(ec) : Number{};
    if (value == nullptr || ec || number < Number{}) {
        return fail(ResultCode::UpstreamFailed, "the report lacks a number that is not negative", std::string(name));
    }
    return number;
}

} // namespace internal

Result<LoadReport> parseLoadReport(std::string_view text)
{
    LoadReport report;
    BOOST_LEAF_AUTO(object, internal::parseReport(text));
    BOOST_LEAF_ASSIGN(report.running, internal::reportNumber<std::uint32_t>(object, "running"));
    BOOST_LEAF_ASSIGN(report.waiting, internal::reportNumber<std::uint32_t>(object, "waiting"));
    BOOST_LEAF_ASSIGN(report.slots, internal::reportNumber<std::uint32_t>(object, "slots"));
    BOOST_LEAF_ASSIGN(report.tokensPerSecond, internal::reportNumber<double>(object, "tokens_per_second"));
    BOOST_LEAF_ASSIGN(report.kvUsed, internal::reportNumber<double>(object, "kv_used"));
    BOOST_LEAF_AUTO(age, internal::reportNumber<double>(object, "age_ms"));
    BOOST_LEAF_ASSIGN(report.incarnation, internal::reportNumber<std::uint64_t>(object, "incarnation"));
    if (!std::isfinite(age) || age > 86'400'000.0) {
        return fail(ResultCode::UpstreamFailed, "the age is out of range", "age_ms");
    }
    report.age = Milliseconds{static_cast<Milliseconds::rep>(age)};
    const auto *leaving = object.if_contains("leaving");
    report.leaving = leaving != nullptr && leaving->is_bool() && leaving->get_bool();
    return report;
}

Result<CacheEventPage> parseCacheEvents(std::string_view text)
{
    CacheEventPage page;
    BOOST_LEAF_AUTO(object, internal::parseReport(text));
    BOOST_LEAF_ASSIGN(page.next, internal::reportNumber<std::uint64_t>(object, "next"));
    const auto *events = object.if_contains("events");
    if (events == nullptr || !events->is_array()) {
        return fail(ResultCode::UpstreamFailed, "the report has no list of events", "events");
    }
    for (const auto &it : events->get_array()) {
        const auto *event = it.if_object();
        const auto *prefix = event != nullptr ? event->if_contains("prefix") : nullptr;
        const auto *op = event != nullptr ? event->if_contains("op") : nullptr;
        if (prefix == nullptr || !prefix->is_string() || op == nullptr || !op->is_string()) {
            return fail(ResultCode::UpstreamFailed, "an event lacks its prefix or its operation", "events");
        }
        const std::string_view digits = prefix->get_string();
        CacheEvent parsed{op->get_string() == "add", 0};
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.prefixHash, 16);
        if (ec != std::errc() || end != digits.data() + digits.size()) {
            return fail(ResultCode::UpstreamFailed, "a prefix is no hexadecimal number", "events");
        }
        page.events.push_back(parsed);
    }
    return page;
}

} // namespace guavafield
