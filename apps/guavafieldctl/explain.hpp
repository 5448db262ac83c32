// Reconstructs the history of one request from the logs of several hosts.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::ctl {

/*! @brief Collects the log lines of one request, read in any order, and reports why it ended. */
class Explanation
{
public:
    explicit Explanation(std::string requestId) : m_requestField("request=" + std::move(requestId)) { }

    /*! @brief Adds one log line; a prefix that another tool put before the timestamp is preserved. */
    void addLine(std::string_view line);
    /*!
     * @brief Writes the lines of the request and of the upstreams involved in timestamp order, then the cause.
     * @return False if no line refers to the request.
     */
    bool write(std::ostream &output) const;

private:
    struct Line
    {
        // ISO 8601 date and time, the sort key of the line; empty if the line has none.
        std::string timestamp;
        std::string text;
    };

    [[nodiscard]] std::string cause() const;

    std::string m_requestField;
    std::vector<Line> m_lines;
    // Lines about any upstream; write() selects those of the upstreams involved.
    std::vector<Line> m_upstreamLines;
};

/*! @brief Reads log files, or standard input if none are given, and prints the explanation; returns false if no line refers to the request. */
[[nodiscard]] bool explainRequest(const std::string &requestId, const std::vector<std::string> &files);

} // namespace guavafield::ctl
