// The row of an at-most-once call and the reply to its caller.
#pragma once

#include <guavafield/coordination/table/table_io.hpp>
#include <guavafield/state/result.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavafield {

enum class OnceState : std::uint8_t {
    // The call may have run.
    Started,
    // The call has run and the upstream's answer is recorded.
    Settled,
    // No request under this key has run, and none will until the record expires.
    Refused,
};

/*! @brief An upstream's answer as recorded, and as replayed to duplicates. */
struct OnceAnswer
{
    unsigned status{200};
    // Without hop-by-hop headers.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const OnceAnswer &, const OnceAnswer &) = default;
};

/*! @brief Value of the row once/<team>/<digest of key>. */
struct OnceRecord
{
    OnceState state{OnceState::Started};
    // Unique id of the call that wrote the row.
    std::string id;
    Digest bodyDigest{};
    HostId host;
    // Set if and only if the state is Settled.
    std::optional<OnceAnswer> answer;
    // Platform's time of day when the row was settled or refused.
    WallTime settledAt{};
};

using OnceCodec = RecordCodec<OnceRecord>;

/*! @brief Identity of an at-most-once call: the idempotency key within a team, and the body it was used with. */
struct OnceIdentity
{
    TeamId team;
    // Digest of the idempotency key, in hexadecimal.
    std::string keyDigest;
    Digest bodyDigest{};
};

/*! @brief Reply to a caller. */
struct OnceReply
{
    ResultCode code{ResultCode::Ok};
    // This request has not been sent to the upstream and will not be.
    bool notRun{false};
    // Set if and only if the code is Ok.
    std::optional<OnceAnswer> answer;
    // The answer was recorded by an earlier request.
    bool replayed{false};
};

/*! @brief Returns the reply to a duplicate of a recorded call. */
[[nodiscard]] OnceReply replyFromRecord(const OnceRecord &record);

} // namespace guavafield
