// Log lines about what a new configuration changes.
#include <guavafield/transport/fleet/directory_service.hpp>

#include <guavafield/transport/log/log.hpp>

#include <set>
#include <string>
#include <string_view>

namespace guavafield {

void DirectoryService::logEvacuations(const Configuration &configuration) const
{
    static const std::set<DataCentreId, std::less<>> none;
    const auto known = knowledge(DirectoryTable::Document);
    const auto source = " version=" + std::to_string(known.content) + " knowledge_age_ms=" + std::to_string(known.age.count());
    const auto log = [&](const DataCentreId &dataCentre, std::string text) {
        text += ", data_centre=" + dataCentre;
        text += source;
        logEvent(LogLevel::Info, "fleet:", {}, text);
    };
    const auto &before = m_applied ? m_applied->evacuated : none;
    for (const auto &it : configuration.evacuated) {
        if (!before.contains(it)) {
            log(it, "data centre evacuated");
        }
    }
    for (const auto &it : before) {
        if (!configuration.evacuated.contains(it)) {
            log(it, "data centre returned to service");
        }
    }
}

void DirectoryService::logChanges(const Configuration &configuration) const
{
    const auto known = knowledge(DirectoryTable::Upstreams);
    const auto source = " version=" + std::to_string(known.content) + " knowledge_age_ms=" + std::to_string(known.age.count());
    const auto log = [&](const Upstream &it, std::string_view state) {
        const auto kind = std::string(describe(it.kind));
        logEvent(LogLevel::Info,
                 "fleet:",
                 {},
                 "upstream " + std::string(state) + ", upstream=" + it.id + " pool=" + it.pool + " data_centre=" + it.dataCentre + " kind=" + kind + source);
    };
    static const StringMap<Upstream> none;
    const auto &before = m_applied ? m_applied->upstreams : none;
    for (const auto &[id, it] : configuration.upstreams) {
        const auto earlier = before.find(id);
        if (earlier == before.end()) {
            log(it, it.leaving ? "found leaving" : "found");
        } else if (it.incarnation != earlier->second.incarnation) {
            log(it, "restarted");
        } else if (it.leaving && !earlier->second.leaving) {
            log(it, "leaving");
        }
    }
    for (const auto &[id, it] : before) {
        if (!configuration.upstreams.contains(id)) {
            log(it, "gone");
        }
    }
}

} // namespace guavafield
