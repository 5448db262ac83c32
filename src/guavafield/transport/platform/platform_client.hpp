// Client of the platform's HTTP interfaces: table service, object store and the others of section 5.3 of the design.
#pragma once

#include <guavafield/coordination/table/table.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/result.hpp>
#include <guavafield/transport/platform/call_limiter.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavafield {

namespace internal {

class PlatformChannel;
struct PlatformAnswer;
struct PlatformRequest;

} // namespace internal

/*! @brief Limits and time-outs of a platform client. */
struct PlatformClientSettings
{
    CallLimits limits;
    // Whole duration of a call, waiting for its turn included.
    Milliseconds timeout{5'000};
    // Part of the timeout for opening a connection.
    Milliseconds connectTimeout{1'000};
    // The platform may close a connection that is idle for longer.
    Milliseconds idleTimeout{15'000};
    // A connection that is given up sends nothing more, not even what the network held up.
    bool resetOnClose{false};
    // Header of the platform's answers that counts the epochs of its data; empty if it has none.
    std::string epochHeader{};
    // Largest answer; a snapshot of 5,000 teams is a few MB.
    std::uint64_t maxAnswerBytes{64ULL << 20U};
};

/*! @brief A call of any interface. */
struct PlatformCall
{
    // GET, POST, PUT or DELETE.
    std::string method;
    // Path with query.
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    CallUrgency urgency{CallUrgency::Rest};
    // Instead of that of the settings.
    std::optional<Milliseconds> timeout;
    // Asked right before the call is sent, as this host may have been suspended since it was made; the call is dropped if it returns false.
    std::function<bool()> stillAllowed;
};

/*! @brief What became of it. */
struct PlatformReply
{
    // 0 if there was no answer.
    unsigned status{0};
    std::string body;
    // Epoch of the data; 0 if the platform counts none.
    std::uint64_t epoch{0};
    // There was no answer, but the call may have been executed or may still be.
    bool unknown{false};
};

/*!
 * @brief Calls the platform over a few kept connections.
 *
 * Safe to call from coroutines on any thread of the executor. A call never throws because of the platform; it ends within the timeout.
 * A transaction is TransactionRejected only when it cannot have reached the platform or the platform refused it, and TransactionUnknown
 * whenever its answer was lost.
 */
class PlatformClient
{
public:
    template <typename Type>
    using Awaitable = boost::asio::awaitable<Type>;

    PlatformClient(
        const boost::asio::any_io_executor &executor, std::string address, std::uint16_t port, Counters &counters, PlatformClientSettings settings = {});
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /*! @brief Runs a transaction; its urgency follows from the table of its first write. */
    [[nodiscard]] Awaitable<TransactionReply> transact(Transaction transaction);
    /*! @brief Reads rows, in the order asked for. */
    [[nodiscard]] Awaitable<ReadReply> read(std::vector<RowKey> keys);
    /*! @brief Reads a range of rows in key order. */
    [[nodiscard]] Awaitable<ReadReply> scan(ScanRange range);

    /*! @brief Fetches an object; PlatformObjectUnknown if there is none of this name. */
    [[nodiscard]] Awaitable<Outcome<std::string>> getObject(std::string name);
    /*! @brief Stores an object. */
    [[nodiscard]] Awaitable<Outcome<bool>> putObject(std::string name, std::string body);
    /*! @brief Removes an object; also succeeds if there is none of this name. */
    [[nodiscard]] Awaitable<Outcome<bool>> deleteObject(std::string name);

    /*!
     * @brief Calls another interface.
     * @param method GET, POST, PUT or DELETE.
     * @param target Path with query.
     * @return The body of a 2xx answer. PlatformUnavailable: the call has not been executed; PlatformOutcomeUnknown: it may have been;
     * OrderFenced: 409, with the answer's body as the message; PlatformAnswerInvalid: any other answer.
     */
    [[nodiscard]] Awaitable<Outcome<std::string>> call(std::string method, std::string target, std::string body, CallUrgency urgency = CallUrgency::Rest);

    /*! @brief Calls another interface and returns the answer whatever its status. */
    [[nodiscard]] Awaitable<PlatformReply> exchange(PlatformCall call);

    /*! @brief Returns the platform's time of day by the Date header of its latest answer; empty before the first. */
    [[nodiscard]] std::optional<WallTime> platformTime() const;

private:
    [[nodiscard]] Awaitable<internal::PlatformAnswer> exchange(internal::PlatformRequest request);

    // Shared with the calls in flight.
    std::shared_ptr<internal::PlatformChannel> m_channel;
    Counters &m_counters;
};

} // namespace guavafield
