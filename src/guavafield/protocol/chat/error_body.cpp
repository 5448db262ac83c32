// Writing of error bodies with Boost.JSON.
#include <guavafield/protocol/chat/error_body.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cctype>

namespace guavafield {

namespace internal {

std::string_view typeOf(ResultCode code) noexcept
{
    switch (static_cast<unsigned>(code) / 1000) {
    case 2:
        return describe(code).httpStatus == 401 ? "authentication_error" : "invalid_request_error";
    case 3:
        return "overloaded_error";
    case 4:
        return "upstream_error";
    case 5:
        return "idempotency_error";
    default:
        return "server_error";
    }
}

} // namespace internal

std::string errorName(ResultCode code)
{
    std::string name;
    for (const char it : describe(code).name) {
        if (std::isupper(static_cast<unsigned char>(it)) != 0 && !name.empty()) {
            name += '_';
        }
        name += static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    }
    return name;
}

std::string formatErrorBody(const ErrorReply &reply)
{
    std::string message(describe(reply.code).meaning);
    if (!reply.detail.empty()) {
        message.append(": ").append(reply.detail);
    }
    const boost::json::object error{
        {"message", message},
        {"type", internal::typeOf(reply.code)},
        {"code", errorName(reply.code)},
        {"guavafield_code", static_cast<unsigned>(reply.code)},
        {"request_id", reply.requestId},
        {"not_run", reply.notRun},
    };
    return boost::json::serialize(boost::json::object{{"error", error}});
}

std::string formatErrorEvent(const ErrorReply &reply)
{
    return "event: error\ndata: " + formatErrorBody(reply) + "\n\n";
}

unsigned retryAfterSeconds(Milliseconds delay) noexcept
{
    return static_cast<unsigned>(std::max<Milliseconds::rep>(1, (delay.count() + 999) / 1000));
}

std::string fractionalSeconds(Milliseconds delay)
{
    constexpr Milliseconds::rep perSecond = 1'000;
    const auto total = std::max<Milliseconds::rep>(delay.count(), 0);
    auto fraction = std::to_string(total % perSecond);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(total / perSecond) + "." + fraction;
}

} // namespace guavafield
