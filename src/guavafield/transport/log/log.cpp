// Set-up of easylogging++ and the bounded output to standard output.
#include <guavafield/transport/log/log.hpp>

#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>
#include <string>

namespace guavafield {

namespace internal {

constexpr std::size_t maxPendingBytes = std::size_t{128} * 1024;
// A pipe that is reported as writable takes this much without blocking.
constexpr std::size_t pieceBytes = 4'096;

// Lines that standard output has not taken yet. What does not fit is dropped and counted, so that logging never blocks.
class PendingLines
{
public:
    void add(std::string_view line)
    {
        const std::scoped_lock lock(m_mutex);
        flush();
        if (m_text.size() + line.size() > maxPendingBytes) {
            ++m_dropped;
            return;
        }
        if (m_dropped > 0) {
            m_text += "log: dropped lines=" + std::to_string(m_dropped) + "\n";
            m_dropped = 0;
        }
        m_text.append(line);
        flush();
    }

private:
    void flush()
    {
        std::size_t written = 0;
        while (written < m_text.size()) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
                break;
            }
            const auto n = ::write(STDOUT_FILENO, m_text.data() + written, std::min(pieceBytes, m_text.size() - written));
            if (n <= 0) {
                break;
            }
            written += static_cast<std::size_t>(n);
        }
        m_text.erase(0, written);
    }

    std::mutex m_mutex;
    // All guarded by m_mutex.
    std::string m_text;
    std::size_t m_dropped{0};
};

PendingLines &pendingLines()
{
    static PendingLines lines;
    return lines;
}

class BoundedOutput : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const auto *message = data->logMessage();
        pendingLines().add(message->logger()->logBuilder()->build(message, true));
    }
};

std::string oneLine(std::string_view component, std::string_view request, std::string_view text)
{
    std::string line(component);
    if (!request.empty()) {
        line.append(" request=").append(request);
    }
    line.append(" ").append(text);
    for (auto &it : line) {
        if (static_cast<unsigned char>(it) < ' ') {
            it = ' ';
        }
    }
    return line;
}

} // namespace internal

void setUpLogging(LogLevel lowest)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    const auto enable = [&](el::Level level, bool on) { configuration.set(level, el::ConfigurationType::Enabled, on ? "true" : "false"); };
    enable(el::Level::Debug, lowest <= LogLevel::Debug);
    enable(el::Level::Info, lowest <= LogLevel::Info);
    enable(el::Level::Warning, lowest <= LogLevel::Warning);
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<internal::BoundedOutput>("BoundedOutput");
}

void logEvent(LogLevel level, std::string_view component, std::string_view request, std::string_view text)
{
    const auto line = internal::oneLine(component, request, text);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace guavafield
