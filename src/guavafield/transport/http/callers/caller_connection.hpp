// A caller's connection: reads one request after the other and has each answered.
#pragma once

#include <guavafield/transport/http/callers/access.hpp>
#include <guavafield/transport/http/callers/caller_answer.hpp>
#include <guavafield/transport/http/callers/caller_stream.hpp>
#include <guavafield/transport/http/mailbox.hpp>
#include <guavafield/transport/http/request_memory.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace guavafield {

struct PathContext;

/*! @brief Runs on its own strand until the connection ends. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::shared_ptr<PathContext> context, boost::asio::ip::tcp::socket socket);

    /*! @brief Serves the connection to its end. */
    [[nodiscard]] boost::asio::awaitable<void> run();
    /*! @brief Refuses the connection with a code and closes it. */
    [[nodiscard]] boost::asio::awaitable<void> refuse(ResultCode code);
    /*! @brief Closes the connection unless a request is in progress; from any thread. */
    void closeIfIdle();
    /*! @brief Returns since when nothing has arrived; empty while a request runs that has arrived as a whole. From any thread. */
    [[nodiscard]] std::optional<SteadyTime> silentSince() const noexcept;
    /*! @brief Closes the connection unless it runs a request; from any thread. */
    void evict();

private:
    using Awaitable = boost::asio::awaitable<void>;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    [[nodiscard]] boost::asio::awaitable<bool> waitForRequest();
    [[nodiscard]] boost::asio::awaitable<bool> serveOne();
    [[nodiscard]] Awaitable handle(Parser &parser, CallerAnswer &answer, const RequestId &id);
    [[nodiscard]] Awaitable dispatch(Parser &parser, CallerAnswer &answer, const RequestId &id, AccessGrant grant);
    [[nodiscard]] Awaitable
    runModelCall(Parser &parser, CallerAnswer &answer, const RequestId &id, AccessGrant grant, ModelEndpoint endpoint, std::shared_ptr<Mailbox> mailbox);
    [[nodiscard]] Awaitable runForwardCall(Parser &parser, CallerAnswer &answer, const RequestId &id, AccessGrant grant, std::shared_ptr<Mailbox> mailbox);
    [[nodiscard]] Awaitable runServiceCall(Parser &parser, CallerAnswer &answer, const RequestId &id, AccessGrant grant, std::shared_ptr<Mailbox> mailbox);
    [[nodiscard]] Awaitable listModels(CallerAnswer &answer, const AccessGrant &grant);
    // Reads the body; false if it did not arrive as a whole, in which case the answer has been sent.
    [[nodiscard]] boost::asio::awaitable<bool> readBody(Parser &parser, CallerAnswer &answer, HeldRequest &held);
    // Returns what the request costs in memory: its bytes, their copy for an attempt, and the buffer.
    [[nodiscard]] std::uint64_t costOf(Parser &parser) const;
    // Empty if too many headers are being received.
    [[nodiscard]] boost::asio::awaitable<std::optional<boost::system::error_code>> readHeader(Parser &parser);
    void noteArrival() noexcept;
    // Refuses a request whose body has not been read.
    [[nodiscard]] Awaitable refuseUnread(CallerAnswer &answer, Error error);

    std::shared_ptr<PathContext> m_context;
    std::shared_ptr<CallerStream> m_stream;
    bool m_idle{true};
    // A request that has arrived as a whole runs.
    std::atomic<bool> m_running{false};
    // When bytes of a caller arrived last, in ticks of the steady clock.
    std::atomic<SteadyTime::rep> m_arrivedAt{0};
    // The upload is ended, since memory is short.
    std::atomic<bool> m_uploadEnded{false};
    // Of the request at hand, without its body.
    std::uint64_t m_headerBytes{0};
    // When the header of the request at hand had arrived.
    SteadyTime m_received{};
};

} // namespace guavafield
