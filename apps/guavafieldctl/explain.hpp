// One request's story from the logs of several hosts.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::ctl {

/*! @brief Collects the lines that concern one request, from logs in any order, and explains its end. */
class Explanation
{
public:
    explicit Explanation(std::string requestId) : m_requestField("request=" + std::move(requestId)) { }

    /*! @brief Takes one line of a log; what another tool has put before its time is kept. */
    void addLine(std::string_view line);
    /*!
     * @brief Writes the lines in the order of their times, those on the upstreams involved included, and the cause.
     * @return False if no line concerns the request.
     */
    bool write(std::ostream &output) const;

private:
    struct Line
    {
        // Time of day in ISO 8601, by which lines are ordered.
        std::string timestamp;
        std::string text;
    };

    [[nodiscard]] std::string cause() const;

    std::string m_requestField;
    std::vector<Line> m_lines;
    // Lines on upstreams, whichever they are.
    std::vector<Line> m_upstreamLines;
};

/*! @brief Reads log files, or standard input if there are none, and writes the explanation to standard output; false if nothing was found. */
[[nodiscard]] bool explainRequest(const std::string &requestId, const std::vector<std::string> &files);

} // namespace guavafield::ctl
