// Calls to the platform and the mapping of their answers to replies.
#include <guavafield/transport/platform/platform_client.hpp>

#include <guavafield/protocol/platform/platform_json.hpp>
#include <guavafield/transport/platform/platform_channel.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace internal {

Error callError(const PlatformAnswer &answer, const std::string &target)
{
    if (answer.end == ExchangeEnd::Lost) {
        return {ResultCode::PlatformOutcomeUnknown, "the platform's answer was lost", target};
    }
    if (!answer.served()) {
        return {ResultCode::PlatformUnavailable, answer.status == 0 ? "the platform cannot be reached" : "the platform refuses calls", target};
    }
    if (answer.status == 409) {
        return {ResultCode::OrderFenced, answer.body, target};
    }
    return {ResultCode::PlatformAnswerInvalid, "the platform answered with status " + std::to_string(answer.status), target};
}

Outcome<std::string> toOutcome(PlatformAnswer answer, const std::string &target)
{
    if (answer.served() && answer.status >= 200 && answer.status < 300) {
        return {std::move(answer.body), {}};
    }
    return {std::nullopt, callError(answer, target)};
}

Outcome<bool> toDone(const Outcome<std::string> &outcome)
{
    return outcome ? Outcome<bool>{true, {}} : Outcome<bool>{std::nullopt, outcome.error};
}

CallUrgency urgencyOfObject(std::string_view name) noexcept
{
    return name.starts_with("config-") ? CallUrgency::Configuration : CallUrgency::Rest;
}

TransactionReply toTransactionReply(const PlatformAnswer &answer, const Transaction &transaction)
{
    if (answer.end == ExchangeEnd::Lost) {
        return TransactionUnknown{};
    }
    // A request that the service finds faulty is answered with another 4xx and has no effect.
    const bool decided = answer.status == 200 || answer.status == 409;
    if (!answer.served() || (!decided && answer.status >= 400 && answer.status < 500)) {
        return TransactionRejected{};
    }
    if (!decided) {
        return TransactionUnknown{};
    }
    auto reply = capture([&] { return parseTransactionReply(answer.body, transaction); });
    return reply ? std::move(*reply.value) : TransactionReply{TransactionUnknown{}};
}

} // namespace internal

PlatformClient::PlatformClient(
    const asio::any_io_executor &executor, std::string address, std::uint16_t port, Counters &counters, PlatformClientSettings settings)
    : m_channel(std::make_shared<internal::PlatformChannel>(executor, std::move(address), port, counters, std::move(settings))), m_counters(counters)
{
}

PlatformClient::~PlatformClient() = default;

auto PlatformClient::exchange(internal::PlatformRequest request) -> Awaitable<internal::PlatformAnswer>
{
    const auto channel = m_channel;
    m_counters.add(request.repeatable ? CounterId::PlatformReads : CounterId::PlatformWrites);
    auto work = channel->run(std::move(request));
    auto answer = co_await asio::co_spawn(channel->strand, std::move(work), asio::use_awaitable);
    co_return answer;
}

auto PlatformClient::transact(Transaction transaction) -> Awaitable<TransactionReply>
{
    auto body = capture([&] { return formatTransaction(transaction); });
    if (!body) {
        co_return TransactionRejected{};
    }
    const auto urgency = transaction.writes.empty() ? CallUrgency::Rest : urgencyOfTable(transaction.writes.front().key.table);
    internal::PlatformRequest request{http::verb::post, "/table/transact", std::move(*body.value), urgency, false};
    const auto answer = co_await exchange(std::move(request));
    co_return internal::toTransactionReply(answer, transaction);
}

auto PlatformClient::read(std::vector<RowKey> keys) -> Awaitable<ReadReply>
{
    const auto urgency = keys.empty() ? CallUrgency::Rest : urgencyOfTable(keys.front().table);
    internal::PlatformRequest request{http::verb::post, "/table/read", formatReadRequest(keys), urgency, true};
    const auto answer = co_await exchange(std::move(request));
    if (answer.status != 200) {
        co_return ReadFailed{};
    }
    auto rows = capture([&] { return parseReadReply(answer.body, keys); });
    co_return rows ? ReadReply{std::move(*rows.value)} : ReadReply{ReadFailed{}};
}

auto PlatformClient::scan(ScanRange range) -> Awaitable<ReadReply>
{
    internal::PlatformRequest request{http::verb::post, "/table/scan", formatScanRequest(range), urgencyOfTable(range.table), true};
    const auto answer = co_await exchange(std::move(request));
    if (answer.status != 200) {
        co_return ReadFailed{};
    }
    auto rows = capture([&] { return parseScanReply(answer.body, range); });
    co_return rows ? ReadReply{std::move(*rows.value)} : ReadReply{ReadFailed{}};
}

auto PlatformClient::getObject(std::string name) -> Awaitable<Outcome<std::string>>
{
    internal::PlatformRequest request{http::verb::get, "/objects/" + name, {}, internal::urgencyOfObject(name), true};
    auto answer = co_await exchange(std::move(request));
    if (answer.status == 404) {
        co_return Outcome<std::string>{std::nullopt, {ResultCode::PlatformObjectUnknown, "the object store has no such object", name}};
    }
    co_return internal::toOutcome(std::move(answer), name);
}

auto PlatformClient::putObject(std::string name, std::string body) -> Awaitable<Outcome<bool>>
{
    internal::PlatformRequest request{http::verb::put, "/objects/" + name, std::move(body), internal::urgencyOfObject(name), false};
    auto answer = co_await exchange(std::move(request));
    co_return internal::toDone(internal::toOutcome(std::move(answer), name));
}

auto PlatformClient::deleteObject(std::string name) -> Awaitable<Outcome<bool>>
{
    internal::PlatformRequest request{http::verb::delete_, "/objects/" + name, {}, internal::urgencyOfObject(name), false};
    auto answer = co_await exchange(std::move(request));
    if (answer.status == 404) {
        co_return Outcome<bool>{true, {}};
    }
    co_return internal::toDone(internal::toOutcome(std::move(answer), name));
}

auto PlatformClient::call(std::string method, std::string target, std::string body, CallUrgency urgency) -> Awaitable<Outcome<std::string>>
{
    const auto verb = http::string_to_verb(method);
    internal::PlatformRequest request{verb, target, std::move(body), urgency, verb == http::verb::get};
    auto answer = co_await exchange(std::move(request));
    co_return internal::toOutcome(std::move(answer), target);
}

auto PlatformClient::exchange(PlatformCall call) -> Awaitable<PlatformReply>
{
    const auto verb = http::string_to_verb(call.method);
    internal::PlatformRequest request{verb, std::move(call.target), std::move(call.body), call.urgency, verb == http::verb::get};
    request.headers = std::move(call.headers);
    request.timeout = call.timeout;
    request.stillAllowed = std::move(call.stillAllowed);
    auto answer = co_await exchange(std::move(request));
    co_return PlatformReply{answer.status, std::move(answer.body), answer.epoch, answer.end == internal::ExchangeEnd::Lost};
}

std::optional<WallTime> PlatformClient::platformTime() const
{
    return m_channel->platformTime();
}

} // namespace guavafield
