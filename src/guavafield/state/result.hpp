// Numbered result codes and the error type that travels through LEAF results.
#pragma once

#include <guavafield/state/types.hpp>

#include <boost/leaf.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace guavafield {

/*! @brief Result codes; docs/reference/result-codes.md has the same table and CI compares the two. */
enum class ResultCode : std::uint16_t {
    Ok = 0,
    // 1xxx settings
    SettingsUnreadable = 1001,
    SettingUnknown = 1002,
    SettingMissing = 1003,
    SettingInvalid = 1004,
    // 2xxx caller's request
    KeyMissing = 2001,
    KeyUnknown = 2002,
    KeyWithdrawn = 2003,
    RequestMalformed = 2004,
    RequestHeaderTooLarge = 2005,
    RequestBodyTooLarge = 2006,
    RequestTimeout = 2007,
    TooManyConnections = 2008,
    TooManyStreams = 2009,
    RouteUnknown = 2010,
    ModelUnknown = 2011,
    ClassUnknown = 2012,
    MethodNotAllowed = 2013,
    OperatorTokenInvalid = 2014,
    BodyMemoryExhausted = 2015,
    // 3xxx refusal by admission
    FirstTokenTargetUnreachable = 3001,
    TotalTargetUnreachable = 3002,
    ShareExceeded = 3003,
    ShedForHigherTier = 3004,
    NoUpstream = 3005,
    CrashSuspectRefused = 3006,
    HostStopping = 3007,
    ConfigurationTooOld = 3008,
    QueueFull = 3009,
    CrashSuspectNotRun = 3010,
    UpstreamRateLimited = 3011,
    StreamOriginUnknown = 3012,
    StreamVersionGone = 3013,
    UpstreamsEvacuated = 3014,
    HomeUnavailable = 3015,
    // 4xxx upstream
    UpstreamUnreachable = 4001,
    UpstreamFailed = 4002,
    UpstreamIncomplete = 4003,
    UpstreamTimeout = 4004,
    RetryBudgetExhausted = 4005,
    UpstreamOutOfSequence = 4006,
    UpstreamStatusInvalid = 4007,
    // 5xxx at-most-once calls
    OnceStoreUnavailable = 5001,
    OnceKeyReused = 5002,
    OnceOutcomeUnknown = 5003,
    OnceKeyMissing = 5004,
    OnceRefused = 5005,
    // 6xxx configuration
    ConfigurationInvalid = 6001,
    ConfigurationConflict = 6002,
    ConfigurationUnknownField = 6003,
    ConfigurationNotReady = 6004,
    ConfigurationItemUnknown = 6005,
    ConfigurationUnconfirmed = 6006,
    // 7xxx platform and leases
    PlatformUnavailable = 7001,
    PlatformAnswerInvalid = 7002,
    PlatformOutcomeUnknown = 7003,
    LeaseLost = 7004,
    OrderFenced = 7005,
    PlatformObjectUnknown = 7006,
    // 8xxx peers
    PeerMessageInvalid = 8001,
    PeerUnauthenticated = 8002,
    PeerUnreachable = 8003,
};

/*! @brief One row of the table of result codes. */
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    // HTTP status of an answer that carries the code; 0 where no caller sees it.
    unsigned httpStatus;
    std::string_view meaning;
};

/*! @brief Returns the whole table, in rising order of code. */
[[nodiscard]] std::span<const ResultCodeInfo> resultCodes() noexcept;

/*!
 * @brief Returns the row of a code.
 * @param code A code of the table.
 */
[[nodiscard]] const ResultCodeInfo &describe(ResultCode code) noexcept;

/*! @brief An error with its number and the place of the fault. */
struct Error
{
    ResultCode code{ResultCode::Ok};
    std::string message;
    // File and line, JSON path, header name or row key; empty where there is none.
    std::string place;
};

template <typename Type>
using Result = boost::leaf::result<Type>;

/*!
 * @brief Makes a failed result.
 * @param code What went wrong.
 * @param message A short sentence for people.
 * @param place Where, e.g. "teams[2].contract.share".
 */
[[nodiscard]] inline boost::leaf::error_id fail(ResultCode code, std::string message, std::string place = {})
{
    return boost::leaf::new_error(Error{code, std::move(message), std::move(place)});
}

/*! @brief A value or the error that prevented it; may be kept, unlike a LEAF result. */
template <typename Type>
struct Outcome
{
    std::optional<Type> value;
    // Set exactly when value is empty.
    Error error;

    [[nodiscard]] explicit operator bool() const noexcept
    {
        return value.has_value();
    }
};

/*!
 * @brief Runs a function that returns a Result and captures its value or error.
 * @param function Called once without arguments.
 */
template <typename Function>
[[nodiscard]] auto capture(Function &&function)
{
    using Type = std::decay_t<decltype(function().value())>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome<Type>> {
            auto result = function();
            if (!result) {
                return result.error();
            }
            return Outcome<Type>{std::move(*result), {}};
        },
        [](const Error &error) {
            return Outcome<Type>{std::nullopt, error};
        },
        [] {
            return Outcome<Type>{std::nullopt, Error{ResultCode::RequestMalformed, "unknown error", {}}};
        });
}

} // namespace guavafield
