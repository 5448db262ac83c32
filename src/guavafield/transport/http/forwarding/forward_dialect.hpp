// How requests that are passed on unchanged are read from callers' headers and written for upstreams; each platform brings its own.
#pragma once

#include <guavafield/coordination/request/limits/rate_limit.hpp>
#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/state/result.hpp>
#include <guavafield/transport/http/upstreams/process_question.hpp>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief What a caller's header says of its request. */
struct ForwardEnvelope
{
    // The caller's, unique for each of its attempts.
    RequestId id;
    // As presented; empty if there is none.
    std::string key;
    // How long the caller waits.
    std::optional<Milliseconds> deadline;
    std::uint32_t promptTokens{0};
    std::uint32_t maxOutputTokens{0};
    // Prefixes of the prompt that other requests may share, shortest first: their hashes and tokens.
    std::vector<std::uint64_t> prefixHashes;
    std::vector<std::uint32_t> prefixTokens;
    // Ids of the prompt's parts that other requests may share, in their order.
    std::vector<std::uint64_t> sharedParts;
    // The caller has the events up to this one.
    std::optional<std::uint64_t> lastEventId;
    // The caller's attempt that brought the first of them; empty if the caller names none.
    RequestId resumes;
};

/*! @brief What an attempt adds to a request. */
struct ForwardInstructions
{
    const ForwardEnvelope &envelope;
    // Empty on routes open to all.
    std::string_view team;
    // Another upstream must not run it.
    std::string_view upstream;
    // Time until the answer has to be there.
    Milliseconds left{0};
    // Only for engines.
    std::optional<std::uint8_t> enginePriority;
    // Address and port of an engine that holds more of the prompt; empty if there is none.
    std::string fetchFrom;
    // The answer has to go on after this event.
    std::optional<std::uint64_t> resumeAfter;
};

/*! @brief What changes in a caller's request that is relayed to another host. */
struct RelayInstructions
{
    // Time until the answer has to be there.
    Milliseconds left{0};
    // The answer has to go on after this event of the attempt that began it; empty to leave what the caller wrote.
    std::optional<std::uint64_t> resumeAfter;
    RequestId resumes;
};

/*! @brief What an upstream's header says of its answer. */
struct AnswerFacts
{
    // Names this request; a stray answer names another one.
    bool ours{false};
    bool stray{false};
    // The request was not run and will not be.
    bool notExecuted{false};
    // Another upstream has taken over the address.
    bool misdirected{false};
    // The upstream is about to stop and wants no further requests.
    bool leaving{false};
    // Its caches are cold for so long; empty if it doesn't say.
    std::optional<Milliseconds> coldFor;
    // The upstream refuses and wants no requests from this host for so long.
    std::optional<Milliseconds> pause;
    // Requests a second that the upstream takes from all hosts together, unlimitedRate if it names no limit; empty if it cannot be read.
    std::optional<double> rateLimit{unlimitedRate};
    // Rejections a second for want of room after which the upstream falls over; unlimitedRate if it names none, empty if it cannot be read.
    std::optional<double> rejectionLimit{unlimitedRate};
    // Is the upstream's own whole answer, as far as the header shows.
    bool genuine{false};
    std::optional<LoadReport> load;
};

/*! @brief One platform's form of such requests; its functions are called from any I/O thread. */
struct ForwardDialect
{
    std::function<Result<ForwardEnvelope>(const boost::beast::http::fields &)> readRequest;
    // Writes the header of the request to an upstream from that of the caller.
    std::function<void(const boost::beast::http::fields &callers, const ForwardInstructions &, boost::beast::http::fields &)> writeRequest;
    // Writes the header of the request to another host from that of the caller.
    std::function<void(const boost::beast::http::fields &callers, const RelayInstructions &, boost::beast::http::fields &)> writeRelay;
    std::function<AnswerFacts(const boost::beast::http::response_header<> &, std::string_view requestId)> readAnswer;
    // Header of the daemon's own answers that names the request.
    std::string requestIdHeader;
    // How an upstream's process is asked which one it is.
    ProcessQuestion process;
};

} // namespace guavafield
