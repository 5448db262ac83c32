// Lookup of operators' handlers.
#include <guavafield/transport/http/operators/operator_router.hpp>

#include <guavafield/protocol/chat/error_body.hpp>

#include <utility>

namespace guavafield {

OperatorAnswer operatorError(const Error &error)
{
    ErrorReply reply;
    reply.code = error.code;
    reply.detail = error.message;
    if (!error.place.empty()) {
        reply.detail += (error.message.empty() ? "at " : ", at ") + error.place;
    }
    const auto status = describe(error.code).httpStatus;
    return {status != 0 ? status : 500, "application/json", formatErrorBody(reply)};
}

void OperatorRouter::add(boost::beast::http::verb method, std::string prefix, OperatorHandler handler)
{
    m_entries.push_back({method, std::move(prefix), std::move(handler)});
}

Result<const OperatorHandler *> OperatorRouter::find(boost::beast::http::verb method, std::string_view path) const
{
    const Entry *best = nullptr;
    bool otherMethod = false;
    for (const auto &it : m_entries) {
        if (!path.starts_with(it.prefix)) {
            continue;
        }
        if (it.method != method) {
            otherMethod = true;
        } else if (best == nullptr || it.prefix.size() > best->prefix.size()) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return fail(otherMethod ? ResultCode::MethodNotAllowed : ResultCode::RouteUnknown, {}, std::string(path));
    }
    return &best->handler;
}

} // namespace guavafield
