// The answer to one request of a caller.
#pragma once

#include <guavafield/protocol/chat/error_body.hpp>
#include <guavafield/transport/http/callers/caller_stream.hpp>
#include <guavafield/transport/http/path_hooks.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace guavafield {

struct PathContext;

/*! @brief Writes an answer as a whole or as a stream. Every function returns false once the caller is gone. */
class CallerAnswer
{
public:
    /*!
     * @param context Shared state.
     * @param stream The caller's connection.
     * @param requestId Echoed to the caller.
     * @param keepAlive The caller wants to send further requests.
     * @param headOnly The request is a HEAD request, whose answer ends with its header.
     */
    CallerAnswer(std::shared_ptr<PathContext> context, std::shared_ptr<CallerStream> stream, RequestId requestId, bool keepAlive, bool headOnly);

    [[nodiscard]] boost::asio::awaitable<bool> sendWhole(const ServiceAnswer &answer);
    /*! @brief Sends a refusal or an error, and counts it; ends a stream that has begun with an error event and no final chunk. */
    [[nodiscard]] boost::asio::awaitable<bool> sendError(ErrorReply reply);

    [[nodiscard]] boost::asio::awaitable<bool> beginStream();
    /*! @brief Begins a stream with the header of an upstream's answer; its events go as they are. */
    [[nodiscard]] boost::asio::awaitable<bool> beginStream(const ServiceAnswer &head);
    /*! @brief Sends the final chunk of a stream whose events went as they are. */
    [[nodiscard]] boost::asio::awaitable<bool> endForwardedStream();
    /*! @brief Ends the connection in the middle of an answer, so that the answer does not look complete. */
    void breakOff();
    /*! @brief Sends events that are already in their text form. */
    [[nodiscard]] boost::asio::awaitable<bool> sendEvents(std::string_view events);
    /*! @brief Sends the last event and the final chunk. */
    [[nodiscard]] boost::asio::awaitable<bool> endStream();

    /*! @brief Returns whether bytes of an answer have gone to the caller. */
    [[nodiscard]] bool started() const noexcept
    {
        return m_started;
    }
    /*! @brief Returns whether the connection can take another request. */
    [[nodiscard]] bool keepAlive() const noexcept
    {
        return m_keepAlive;
    }
    void closeAfterwards() noexcept
    {
        m_keepAlive = false;
    }
    [[nodiscard]] const RequestId &requestId() const noexcept
    {
        return m_requestId;
    }

private:
    [[nodiscard]] std::string formatHeader(const ServiceAnswer &answer, bool chunked);

    std::shared_ptr<PathContext> m_context;
    std::shared_ptr<CallerStream> m_stream;
    RequestId m_requestId;
    bool m_keepAlive;
    bool m_headOnly;
    bool m_started{false};
};

} // namespace guavafield
