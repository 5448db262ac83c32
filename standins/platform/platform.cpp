// Request routing, rate limits and fault injection of the platform stand-in.
#include "standins/platform/platform.hpp"

#include <algorithm>

namespace guavafield::standin {

namespace {

constexpr std::string_view objectsPrefix = "/objects/";
constexpr std::string_view weightsPrefix = "/weights/";

bool isWrite(const Exchange &exchange)
{
    const auto path = exchange.path();
    if (path == "/table/read" || path == "/table/scan") {
        return false;
    }
    return exchange.request().method() != http::verb::get;
}

std::string interfaceName(std::string_view path)
{
    path.remove_prefix(std::min<std::size_t>(1, path.size()));
    return std::string(path.substr(0, path.find('/')));
}

std::vector<Header> retryAfterHeaders()
{
    return {{"Retry-After", "1"}};
}

} // namespace

asio::awaitable<void> Platform::handle(Exchange &exchange)
{
    const auto path = exchange.path();
    if (path == "/control" || path == "/control/counts" || (path == "/hosts" && exchange.request().method() == http::verb::post)) {
        auto [status, body] = dispatch(exchange);
        co_await exchange.reply(status, std::move(body));
        co_return;
    }
    if (m_latencyMs > 0) {
        co_await m_clock.sleep(m_latencyMs);
    }
    const bool write = isWrite(exchange);
    auto &count = m_requestCounts[interfaceName(path)];
    ++(write ? count.writes : count.reads);
    count.bytes += exchange.request().body().size();
    if (m_outage == Outage::Drop) {
        exchange.drop();
        co_return;
    }
    if (m_outage == Outage::Refuse || !(write ? m_writeLimit : m_readLimit).tryAcquire(m_clock.now())) {
        const unsigned status = m_outage == Outage::Refuse ? 503 : 429;
        json::object body{{"error", "over the limit or out of service"}};
        auto headers = retryAfterHeaders();
        co_await exchange.reply(status, std::move(body), std::move(headers));
        co_return;
    }
    if (path.starts_with(objectsPrefix)) {
        co_await serveObject(exchange);
    } else if (path.starts_with(weightsPrefix)) {
        co_await serveWeights(exchange);
    } else {
        auto [status, body] = dispatch(exchange);
        if (write && status < 300 && m_responsesToDrop > 0) {
            --m_responsesToDrop;
            exchange.drop();
            co_return;
        }
        co_await exchange.reply(status, std::move(body));
    }
    m_requestCounts[interfaceName(path)].bytes += exchange.bytesSent();
}

asio::awaitable<void> Platform::serveObject(Exchange &exchange)
{
    const std::string name(exchange.path().substr(objectsPrefix.size()));
    const auto it = m_objects.find(name);
    unsigned status = 200;
    std::string text;
    switch (exchange.request().method()) {
    case http::verb::put:
        m_objects[name] = exchange.request().body();
        break;
    case http::verb::delete_:
        m_objects.erase(name);
        break;
    case http::verb::get:
        status = it == m_objects.end() ? 404 : 200;
        text = it == m_objects.end() ? std::string() : it->second;
        break;
    default:
        status = 405;
    }
    if (isWrite(exchange) && status == 200 && m_responsesToDrop > 0) {
        --m_responsesToDrop;
        exchange.drop();
        co_return;
    }
    std::string type = "application/octet-stream";
    co_await exchange.replyText(status, std::move(text), std::move(type));
}

asio::awaitable<void> Platform::serveWeights(Exchange &exchange)
{
    if (!m_weightLimit.tryAcquire(m_clock.now())) {
        json::object body{{"error", "the weight store is over its limit"}};
        auto headers = retryAfterHeaders();
        co_await exchange.reply(429, std::move(body), std::move(headers));
        co_return;
    }
    json::object body{{"weights", exchange.path().substr(weightsPrefix.size())}};
    co_await exchange.reply(200, std::move(body));
}

Platform::Response Platform::dispatch(Exchange &exchange)
{
    const auto path = exchange.path();
    const bool get = exchange.request().method() == http::verb::get;
    if (path == "/table/transact") {
        return m_table.transact(exchange.body());
    }
    if (path == "/table/read") {
        return m_table.read(exchange.body());
    }
    if (path == "/table/scan") {
        return m_table.scan(exchange.body());
    }
    if (path == "/orders") {
        return get ? listOrders(exchange.query("data_centre")) : placeOrder(exchange.body());
    }
    if (path == "/usage") {
        if (get) {
            return {200, json::object{{"reports", m_usageReports}}};
        }
        m_usageReports.emplace_back(exchange.body());
        return {200, json::object{{"accepted", true}}};
    }
    if (path == "/hosts") {
        return get ? listHosts() : registerHosts(exchange.body());
    }
    if (path == "/control" && !get) {
        return applyControl(exchange.body());
    }
    if (path == "/control/counts") {
        return requestCounts();
    }
    return {404, json::object{{"error", "no such interface"}}};
}

Platform::Response Platform::applyControl(const json::object &call)
{
    m_latencyMs = numberOr(call, "latency_ms", m_latencyMs);
    m_hostListLagMs = numberOr(call, "host_list_lag_ms", m_hostListLagMs);
    m_responsesToDrop = static_cast<std::uint64_t>(numberOr(call, "lose_answers", static_cast<double>(m_responsesToDrop)));
    m_checkFence = boolOr(call, "check_fence", m_checkFence);
    m_cheapAvailable = boolOr(call, "cheap_available", m_cheapAvailable);
    if (call.contains("writes_per_second")) {
        m_writeLimit.setRate(numberOr(call, "writes_per_second", 0));
    }
    if (call.contains("reads_per_second")) {
        m_readLimit.setRate(numberOr(call, "reads_per_second", 0));
    }
    if (call.contains("weights_per_second")) {
        m_weightLimit.setRate(numberOr(call, "weights_per_second", 0));
    }
    if (call.contains("outage")) {
        const auto outage = stringOrEmpty(call, "outage");
        m_outage = outage == "drop" ? Outage::Drop : outage == "refuse" ? Outage::Refuse : Outage::None;
    }
    return {200, json::object{{"ok", true}}};
}

Platform::Response Platform::requestCounts() const
{
    json::object body;
    for (const auto &[name, it] : m_requestCounts) {
        body[name] = json::object{{"reads", it.reads}, {"writes", it.writes}, {"bytes", it.bytes}};
    }
    return {200, std::move(body)};
}

Platform::Response Platform::placeOrder(json::object call)
{
    const auto id = stringOrEmpty(call, "id");
    const auto existing = std::ranges::find_if(m_orders, [&](const json::object &it) { return stringOrEmpty(it, "id") == id; });
    if (existing != m_orders.end()) {
        return {200, *existing};
    }
    auto &highestFence = m_orderFences[stringOrEmpty(call, "data_centre")];
    const auto fence = numberOr(call, "fence", 0);
    if (m_checkFence && fence < highestFence) {
        return {409, json::object{{"fence", static_cast<std::uint64_t>(highestFence)}}};
    }
    highestFence = std::max(highestFence, fence);
    const bool unavailable = stringOrEmpty(call, "upstream_kind") == "cheap" && stringOrEmpty(call, "kind") == "start" && !m_cheapAvailable;
    call["state"] = unavailable ? "unavailable" : "accepted";
    call["received_ms"] = static_cast<std::uint64_t>(m_clock.now());
    m_orders.push_back(call);
    return {200, std::move(call)};
}

Platform::Response Platform::listOrders(std::string_view dataCentre) const
{
    json::array found;
    for (const auto &it : m_orders) {
        if (dataCentre.empty() || stringOrEmpty(it, "data_centre") == dataCentre) {
            found.emplace_back(it);
        }
    }
    return {200, json::object{{"orders", std::move(found)}}};
}

Platform::Response Platform::registerHosts(const json::object &call)
{
    const auto *list = call.if_contains("hosts");
    if (list == nullptr || !list->is_array()) {
        return {400, json::object{{"error", "hosts is missing"}}};
    }
    for (const auto &it : list->as_array()) {
        if (it.is_object()) {
            m_hosts[stringOrEmpty(it.as_object(), "id")].push_back({m_clock.now(), it.as_object()});
        }
    }
    return {200, json::object{{"ok", true}}};
}

Platform::Response Platform::listHosts() const
{
    json::array list;
    const auto visible = m_clock.now() - m_hostListLagMs;
    for (const auto &[id, registrations] : m_hosts) {
        const auto latest = std::ranges::find_if(registrations.rbegin(), registrations.rend(), [&](const HostRegistration &it) { return it.time <= visible; });
        if (latest != registrations.rend()) {
            list.emplace_back(latest->host);
        }
    }
    return {200, json::object{{"hosts", std::move(list)}}};
}

} // namespace guavafield::standin
