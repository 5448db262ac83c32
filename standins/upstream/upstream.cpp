// Request handling, control calls and fault injection of the upstream stand-in.
#include "standins/upstream/upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <sstream>

namespace guavafield::standin {

namespace {

constexpr std::size_t maxRecordedBytes = 16UL * 1024 * 1024;
constexpr std::uint32_t defaultOutputTokens = 32;
// A prompt that contains "[tokens=N]" produces N tokens, limited by max_tokens.
constexpr std::string_view lengthMarker = "[tokens=";

std::string extractPrompt(const json::object &body, bool chat)
{
    if (!chat) {
        return stringOrEmpty(body, "prompt");
    }
    std::string text;
    const auto *messages = body.if_contains("messages");
    if (messages != nullptr && messages->is_array()) {
        for (const auto &it : messages->as_array()) {
            if (it.is_object()) {
                text += stringOrEmpty(it.as_object(), "content") + "\n";
            }
        }
    }
    return text;
}

std::uint32_t outputTokenCount(const json::object &body, std::string_view prompt)
{
    const auto limit = static_cast<std::uint32_t>(numberOr(body, "max_tokens", 0));
    std::uint32_t count = limit != 0 ? limit : defaultOutputTokens;
    if (const auto at = prompt.find(lengthMarker); at != std::string_view::npos) {
        const auto *first = prompt.data() + at + lengthMarker.size();
        std::from_chars(first, prompt.data() + prompt.size(), count);
    }
    return limit != 0 ? std::min(limit, count) : count;
}

json::object errorBody(std::string_view message)
{
    return json::object{{"error", json::object{{"message", message}}}};
}

std::string completionText(std::string_view prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t n = 0; n < tokens; ++n) {
        text += tokenText(prompt, n);
    }
    return text;
}

} // namespace

Upstream::Upstream(UpstreamOptions options, const SimulatedClock &clock, asio::io_context &io)
    : m_options(std::move(options)), m_clock(clock), m_io(io), m_engine(m_options.engine, clock)
{
}

asio::awaitable<void> Upstream::handle(Exchange &exchange)
{
    const auto path = exchange.path();
    if (path == "/control/order") {
        co_await handleOrder(exchange);
        co_return;
    }
    if (path.starts_with("/control/")) {
        auto [status, body] = handleControl(exchange);
        co_await exchange.reply(status, std::move(body));
        co_return;
    }
    recordRequest(exchange.request());
    if (!m_faults.crashMarker.empty() && exchange.request().body().find(m_faults.crashMarker) != std::string::npos) {
        std::_Exit(3);
    }
    if (m_faults.delayMs > 0) {
        co_await m_clock.sleep(m_faults.delayMs);
    }
    if (m_options.service) {
        co_await handleServiceCall(exchange);
    } else if (path == "/v1/chat/completions") {
        co_await handleCompletion(exchange, true);
    } else if (path == "/v1/completions") {
        co_await handleCompletion(exchange, false);
    } else {
        auto body = errorBody("no such path");
        co_await exchange.reply(404, std::move(body));
    }
}

asio::awaitable<void> Upstream::handleCompletion(Exchange &exchange, bool chat)
{
    const auto body = exchange.body();
    const auto model = stringOrEmpty(body, "model");
    if (body.empty() || !servesModel(model)) {
        auto error = errorBody(body.empty() ? "malformed body" : "no such model here");
        co_await exchange.reply(body.empty() ? 400 : 404, std::move(error));
        co_return;
    }
    Job job;
    job.requestId = exchange.header("X-Request-Id");
    job.prompt = extractPrompt(body, chat);
    job.priority = static_cast<std::uint32_t>(numberOr(body, "priority", 0));
    job.promptTokens = countTokens(job.prompt);
    job.outputTokens = outputTokenCount(body, job.prompt);
    if (const auto *resume = body.if_contains("resume"); resume != nullptr && resume->is_object()) {
        job.firstToken = static_cast<std::uint32_t>(numberOr(resume->as_object(), "tokens", 0));
        job.promptTokens += job.firstToken;
        if (stringOrEmpty(resume->as_object(), "text") != completionText(job.prompt, job.firstToken)) {
            auto error = errorBody("the resumed text is not the beginning of this answer");
            co_await exchange.reply(400, std::move(error));
            co_return;
        }
    }
    Engine::JobHandle jobHandle(m_engine, std::move(job));
    const bool started = co_await jobHandle.start(exchange);
    if (!started) {
        exchange.drop();
        co_return;
    }
    co_await generateTokens(exchange, jobHandle, chat, boolOr(body, "stream", false));
}

asio::awaitable<void> Upstream::generateTokens(Exchange &exchange, Engine::JobHandle &jobHandle, bool chat, bool stream)
{
    const auto &job = jobHandle.job();
    if (stream) {
        co_await exchange.beginEventStream();
    }
    std::string completion = stream ? std::string() : completionText(job.prompt, job.firstToken);
    for (auto n = job.firstToken; n < job.outputTokens; ++n) {
        const bool more = co_await jobHandle.nextToken(exchange);
        const bool dropNow = m_faults.dropAfterTokens >= 0 && n - job.firstToken >= m_faults.dropAfterTokens;
        if (!more || dropNow) {
            exchange.drop();
            co_return;
        }
        const auto text = tokenText(job.prompt, n);
        if (stream) {
            auto data = json::serialize(chunkBody(jobHandle, n, text, chat));
            co_await exchange.sendEvent(std::move(data));
        } else {
            completion += text;
        }
    }
    if (!stream) {
        auto response = completionBody(jobHandle, completion, chat);
        co_await exchange.reply(200, std::move(response));
        co_return;
    }
    std::string done = "[DONE]";
    co_await exchange.sendEvent(std::move(done));
    co_await exchange.endEventStream();
}

json::object Upstream::chunkBody(const Engine::JobHandle &jobHandle, std::uint32_t n, const std::string &text, bool chat) const
{
    const auto &job = jobHandle.job();
    const bool last = n + 1 == job.outputTokens;
    json::object choice{{"index", 0}, {"finish_reason", last ? json::value("stop") : json::value()}};
    if (chat) {
        choice["delta"] = json::object{{"content", text}};
    } else {
        choice["text"] = text;
    }
    json::object body{{"id", job.requestId}, {"object", chat ? "chat.completion.chunk" : "text_completion"}, {"index", n}};
    body["choices"] = json::array{std::move(choice)};
    if (last) {
        body["usage"] = json::object{{"prompt_tokens", countTokens(job.prompt)}, {"completion_tokens", job.outputTokens}};
    }
    return body;
}

json::object Upstream::completionBody(const Engine::JobHandle &jobHandle, const std::string &text, bool chat) const
{
    const auto &job = jobHandle.job();
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    if (chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    json::object body{{"id", job.requestId}, {"object", chat ? "chat.completion" : "text_completion"}};
    body["choices"] = json::array{std::move(choice)};
    body["usage"] = json::object{{"prompt_tokens", countTokens(job.prompt)}, {"completion_tokens", job.outputTokens}};
    return body;
}

asio::awaitable<void> Upstream::handleServiceCall(Exchange &exchange)
{
    const auto calls = ++m_callsByKey[std::string(exchange.header("Idempotency-Key"))];
    if (m_faults.responsesToDrop > 0) {
        --m_faults.responsesToDrop;
        exchange.drop();
        co_return;
    }
    json::object body{{"path", exchange.path()}, {"body", exchange.request().body()}, {"calls", calls}};
    co_await exchange.reply(200, std::move(body));
}

asio::awaitable<void> Upstream::handleOrder(Exchange &exchange)
{
    auto call = exchange.body();
    const auto fence = numberOr(call, "fence", 0);
    if (m_options.checkFence && fence < m_highestFence) {
        json::object body{{"fence", static_cast<std::uint64_t>(m_highestFence)}};
        co_await exchange.reply(409, std::move(body));
        co_return;
    }
    m_highestFence = std::max(m_highestFence, fence);
    m_orders.emplace_back(call);
    const auto kind = stringOrEmpty(call, "kind");
    const auto model = stringOrEmpty(call, "model");
    if (kind == "role") {
        m_role = stringOrEmpty(call, "role");
    } else if (kind == "unload") {
        std::erase(m_options.models, model);
    } else if (kind == "load" && !servesModel(model)) {
        co_await m_clock.sleep(m_options.loadMs);
        if (!servesModel(model)) {
            m_options.models.push_back(model);
        }
    }
    json::object body{{"ok", true}};
    co_await exchange.reply(200, std::move(body));
}

Upstream::Response Upstream::handleControl(Exchange &exchange)
{
    const auto path = exchange.path();
    if (path == "/control/load") {
        return loadReport();
    }
    if (path == "/control/cancel") {
        return {200, json::object{{"cancelled", m_engine.cancel(stringOrEmpty(exchange.body(), "request_id"))}}};
    }
    if (path == "/control/cache-events") {
        const auto text = exchange.query("after");
        std::uint64_t after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        return {200, m_engine.cache().eventsAfter(after, m_clock.now())};
    }
    if (path == "/control/fault") {
        return setFaults(exchange.body());
    }
    if (path == "/control/received") {
        return {200, json::object{{"requests", json::array(m_recordedRequests.begin(), m_recordedRequests.end())}}};
    }
    if (path == "/control/orders") {
        return {200, json::object{{"orders", m_orders}}};
    }
    if (path == "/control/calls") {
        json::object calls;
        for (const auto &[key, count] : m_callsByKey) {
            calls[key] = count;
        }
        return {200, json::object{{"calls", std::move(calls)}}};
    }
    return {404, errorBody("no such control call")};
}

Upstream::Response Upstream::setFaults(const json::object &call)
{
    if (call.contains("crash_marker")) {
        m_faults.crashMarker = stringOrEmpty(call, "crash_marker");
    }
    m_faults.delayMs = numberOr(call, "delay_ms", m_faults.delayMs);
    m_faults.dropAfterTokens = numberOr(call, "drop_after_tokens", m_faults.dropAfterTokens);
    m_faults.responsesToDrop = static_cast<std::uint64_t>(numberOr(call, "lose_answers", static_cast<double>(m_faults.responsesToDrop)));
    if (call.contains("slowdown")) {
        m_engine.setSlowdown(numberOr(call, "slowdown", 1));
    }
    if (call.contains("reclaim_ms")) {
        m_leaving = true;
        asio::co_spawn(m_io, exitAfter(numberOr(call, "reclaim_ms", 0)), asio::detached);
    }
    return {200, json::object{{"ok", true}}};
}

Upstream::Response Upstream::loadReport() const
{
    auto report = m_engine.loadReport();
    report["models"] = json::array(m_options.models.begin(), m_options.models.end());
    report["role"] = m_role;
    report["leaving"] = m_leaving;
    report["incarnation"] = m_options.incarnation;
    return {200, std::move(report)};
}

bool Upstream::servesModel(std::string_view model) const
{
    return std::ranges::find(m_options.models, model) != m_options.models.end();
}

asio::awaitable<void> Upstream::exitAfter(double milliseconds)
{
    co_await m_clock.sleep(milliseconds);
    std::_Exit(0);
}

asio::awaitable<void> Upstream::sampleLoad()
{
    for (;;) {
        m_engine.sampleLoad();
        co_await m_clock.sleep(m_options.engine.reportLagMs);
    }
}

void Upstream::recordRequest(const Request &request)
{
    std::ostringstream text;
    text << request;
    m_recordedRequests.push_back(text.str());
    m_recordedBytes += m_recordedRequests.back().size();
    while (m_recordedBytes > maxRecordedBytes) {
        m_recordedBytes -= m_recordedRequests.front().size();
        m_recordedRequests.pop_front();
    }
}

} // namespace guavafield::standin
