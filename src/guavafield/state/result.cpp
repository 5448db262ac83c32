// The table of result codes.
#include <guavafield/state/result.hpp>

#include <algorithm>
#include <array>

namespace guavafield {

namespace internal {

using enum ResultCode;

constexpr std::array resultTable{
    ResultCodeInfo{Ok, "Ok", 200, "success"},
    ResultCodeInfo{SettingsUnreadable, "SettingsUnreadable", 0, "the settings file cannot be read or is no INI file"},
    ResultCodeInfo{SettingUnknown, "SettingUnknown", 0, "a section or key of the settings is unknown"},
    ResultCodeInfo{SettingMissing, "SettingMissing", 0, "a required setting is missing"},
    ResultCodeInfo{SettingInvalid, "SettingInvalid", 0, "a setting has the wrong type or is out of range"},
    ResultCodeInfo{KeyMissing, "KeyMissing", 401, "the request has no API key and its route is not open"},
    ResultCodeInfo{KeyUnknown, "KeyUnknown", 401, "the API key is unknown or its secret is wrong"},
    ResultCodeInfo{KeyWithdrawn, "KeyWithdrawn", 401, "the API key has been withdrawn"},
    ResultCodeInfo{RequestMalformed, "RequestMalformed", 400, "the request is malformed"},
    ResultCodeInfo{RequestHeaderTooLarge, "RequestHeaderTooLarge", 431, "the request header exceeds the limit"},
    ResultCodeInfo{RequestBodyTooLarge, "RequestBodyTooLarge", 413, "the request body exceeds the limit"},
    ResultCodeInfo{RequestTimeout, "RequestTimeout", 408, "the request was not received in time"},
    ResultCodeInfo{TooManyConnections, "TooManyConnections", 503, "the host has reached its limit of connections"},
    ResultCodeInfo{TooManyStreams, "TooManyStreams", 503, "the host has reached its limit of requests in flight"},
    ResultCodeInfo{RouteUnknown, "RouteUnknown", 404, "no route matches the path"},
    ResultCodeInfo{ModelUnknown, "ModelUnknown", 404, "the model is unknown"},
    ResultCodeInfo{ClassUnknown, "ClassUnknown", 400, "the contract of the team has no such class"},
    ResultCodeInfo{MethodNotAllowed, "MethodNotAllowed", 405, "the path does not take this method"},
    ResultCodeInfo{OperatorTokenInvalid, "OperatorTokenInvalid", 401, "the operator token is missing or wrong"},
    ResultCodeInfo{BodyMemoryExhausted, "BodyMemoryExhausted", 503, "the host has no memory left for the request's body"},
    ResultCodeInfo{FirstTokenTargetUnreachable, "FirstTokenTargetUnreachable", 503, "the first token would be later than the class allows"},
    ResultCodeInfo{TotalTargetUnreachable, "TotalTargetUnreachable", 503, "the whole answer would be later than the class allows"},
    ResultCodeInfo{ShareExceeded, "ShareExceeded", 429, "the team uses more than its share while others wait"},
    ResultCodeInfo{ShedForHigherTier, "ShedForHigherTier", 503, "the capacity is needed by a higher tier"},
    ResultCodeInfo{NoUpstream, "NoUpstream", 503, "no upstream can run the request"},
    ResultCodeInfo{CrashSuspectRefused, "CrashSuspectRefused", 422, "the request has crashed upstreams and is refused for a time"},
    ResultCodeInfo{HostStopping, "HostStopping", 503, "the host is stopping"},
    ResultCodeInfo{ConfigurationTooOld, "ConfigurationTooOld", 503, "the team asks for strict withdrawal and the configuration has not been confirmed lately"},
    ResultCodeInfo{QueueFull, "QueueFull", 503, "the queue is full"},
    ResultCodeInfo{CrashSuspectNotRun, "CrashSuspectNotRun", 503, "the request, or a part of its prompt, has crashed upstreams; it was not run this time"},
    ResultCodeInfo{UpstreamRateLimited, "UpstreamRateLimited", 503, "all upstreams that could run the request have used up the rates that they grant"},
    ResultCodeInfo{StreamOriginUnknown, "StreamOriginUnknown", 503, "it is not known which software version began the stream that is to go on"},
    ResultCodeInfo{StreamVersionGone, "StreamVersionGone", 503, "no upstream of the software version that began the stream is left"},
    ResultCodeInfo{UpstreamsEvacuated, "UpstreamsEvacuated", 503, "all upstreams that could run the request are in evacuated data centres"},
    ResultCodeInfo{HomeUnavailable, "HomeUnavailable", 503, "no upstream is in a region in which the request may be processed"},
    ResultCodeInfo{UpstreamUnreachable, "UpstreamUnreachable", 502, "the upstream could not be reached"},
    ResultCodeInfo{UpstreamFailed, "UpstreamFailed", 502, "the upstream answered with an error"},
    ResultCodeInfo{UpstreamIncomplete, "UpstreamIncomplete", 502, "the answer of the upstream ended early"},
    ResultCodeInfo{UpstreamTimeout, "UpstreamTimeout", 504, "the upstream did not answer in time"},
    ResultCodeInfo{RetryBudgetExhausted, "RetryBudgetExhausted", 502, "an attempt failed and the retry budget is exhausted"},
    ResultCodeInfo{UpstreamOutOfSequence, "UpstreamOutOfSequence", 502, "the upstream repeated or skipped a token"},
    ResultCodeInfo{UpstreamStatusInvalid, "UpstreamStatusInvalid", 502, "the status of the upstream's answer is none of HTTP"},
    ResultCodeInfo{OnceStoreUnavailable, "OnceStoreUnavailable", 503, "the call was not run: its at-most-once record cannot be stored"},
    ResultCodeInfo{OnceKeyReused, "OnceKeyReused", 422, "the idempotency key was used with another request body"},
    ResultCodeInfo{OnceOutcomeUnknown, "OnceOutcomeUnknown", 504, "the call may have run; its outcome is not known yet"},
    ResultCodeInfo{OnceKeyMissing, "OnceKeyMissing", 400, "the route needs an Idempotency-Key header"},
    ResultCodeInfo{OnceRefused, "OnceRefused", 503, "the call was refused and has not run"},
    ResultCodeInfo{ConfigurationInvalid, "ConfigurationInvalid", 400, "the configuration change is invalid"},
    ResultCodeInfo{ConfigurationConflict, "ConfigurationConflict", 409, "another change was accepted first"},
    ResultCodeInfo{ConfigurationUnknownField, "ConfigurationUnknownField", 400, "the configuration has a field that this version does not know"},
    ResultCodeInfo{ConfigurationNotReady, "ConfigurationNotReady", 503, "the host has no configuration yet"},
    ResultCodeInfo{ConfigurationItemUnknown, "ConfigurationItemUnknown", 404, "the configuration has no such item"},
    ResultCodeInfo{ConfigurationUnconfirmed, "ConfigurationUnconfirmed", 503, "the host cannot tell whether its configuration is the newest"},
    ResultCodeInfo{PlatformUnavailable, "PlatformUnavailable", 503, "the platform cannot be reached or refuses the call"},
    ResultCodeInfo{PlatformAnswerInvalid, "PlatformAnswerInvalid", 502, "the answer of the platform is malformed"},
    ResultCodeInfo{PlatformOutcomeUnknown, "PlatformOutcomeUnknown", 504, "the platform's answer was lost; the write may have taken effect"},
    ResultCodeInfo{LeaseLost, "LeaseLost", 0, "the lease has lapsed or was taken over"},
    ResultCodeInfo{OrderFenced, "OrderFenced", 0, "the upstream has seen a newer fencing token"},
    ResultCodeInfo{PlatformObjectUnknown, "PlatformObjectUnknown", 0, "the object store has no such object"},
    ResultCodeInfo{PeerMessageInvalid, "PeerMessageInvalid", 0, "a peer's message is malformed"},
    ResultCodeInfo{PeerUnauthenticated, "PeerUnauthenticated", 0, "a peer did not prove knowledge of the fleet secret"},
    ResultCodeInfo{PeerUnreachable, "PeerUnreachable", 0, "a peer cannot be reached"},
};

} // namespace internal

std::span<const ResultCodeInfo> resultCodes() noexcept
{
    return internal::resultTable;
}

const ResultCodeInfo &describe(ResultCode code) noexcept
{
    const auto it = std::ranges::lower_bound(internal::resultTable, code, {}, &ResultCodeInfo::code);
    return it != internal::resultTable.end() && it->code == code ? *it : internal::resultTable.front();
}

} // namespace guavafield
