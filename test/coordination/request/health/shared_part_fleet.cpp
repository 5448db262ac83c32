// Simulation of the fleet in steps of the manual clock.
#include "coordination/request/health/shared_part_fleet.hpp"

#include <algorithm>
#include <utility>

namespace guavafield::test {

namespace {

constexpr Milliseconds clockStep{10};
constexpr Milliseconds contactTime{3'000};
// An upstream writes the first event after this time; the answers to deadly requests end here.
constexpr Milliseconds firstEventTime{100};
constexpr Milliseconds answerTime{420};
constexpr Milliseconds upstreamRestartTime{2'500};
constexpr std::size_t fifth = 5;

} // namespace

SharedPartFleet::SharedPartFleet(Settings settings)
    : m_settings(std::move(settings))
    , m_hosts(m_settings.hosts)
    , m_upstreams(m_settings.upstreams)
    , m_deadlyFrom(m_start + m_settings.calmTime)
    , m_nextDeadly(m_deadlyFrom)
    , m_nextOrdinaryCrash(m_start + m_settings.ordinaryCrashInterval)
{
}

SharedPartFleet::Result SharedPartFleet::run()
{
    const auto end = m_deadlyFrom + m_settings.deadlyTime;
    for (; m_now < end; m_now += clockStep) {
        endDue();
        crashDue();
        reportDue();
        sendDue();
    }
    return m_result;
}

bool SharedPartFleet::isUp(std::size_t host) const
{
    const bool startsLate = m_settings.lateHostDelay.count() > 0 && host == m_settings.lateHost;
    return !startsLate || m_now >= m_deadlyFrom + m_settings.lateHostDelay;
}

std::size_t SharedPartFleet::nextHost()
{
    auto host = ++m_requests % m_hosts.size();
    while (!isUp(host)) {
        host = (host + 1) % m_hosts.size();
    }
    return host;
}

void SharedPartFleet::reportDue()
{
    for (; m_nextReport <= m_now; m_nextReport += m_settings.reportInterval / static_cast<int>(m_hosts.size())) {
        const auto reporter = m_reports++ % m_hosts.size();
        const auto knowledge = m_hosts[reporter].knowledge(m_now);
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            if (n != reporter && isUp(n) && isUp(reporter)) {
                m_hosts[n].merge(knowledge, m_now);
            }
        }
    }
}

void SharedPartFleet::sendDue()
{
    for (; m_nextRound <= m_now; m_nextRound += m_settings.roundInterval) {
        for (std::size_t n = 0; n < m_settings.requestsPerRound; ++n) {
            sendSound();
        }
    }
    for (; m_nextDeadly <= m_now; m_nextDeadly += m_settings.deadlyInterval) {
        sendDeadly();
    }
}

void SharedPartFleet::sendSound()
{
    const auto host = nextHost();
    const CrashSuspect suspect{m_requests, m_settings.soundParts(m_soundRequests++), false};
    const bool begun = !m_hosts[host].refusedFor(suspect, m_now) && begin(host, suspect, false, false);
    const auto count = [begun](Share &share) {
        ++share.sent;
        share.begun += begun ? 1 : 0;
    };
    if (m_now < m_deadlyFrom) {
        count(m_result.before);
    } else if (m_fifthCrash != SteadyTime::max() && m_now >= m_fifthCrash + 2 * contactTime) {
        count(m_result.after);
    }
}

void SharedPartFleet::sendDeadly()
{
    const auto host = nextHost();
    const CrashSuspect suspect{m_requests, m_settings.deadlyParts(m_deadlyRequests++), false};
    if (!m_hosts[host].refusedFor(suspect, m_now)) {
        begin(host, suspect, true, false);
    }
}

bool SharedPartFleet::begin(std::size_t host, const CrashSuspect &suspect, bool deadly, bool isRetry)
{
    for (std::size_t tries = 0; tries < m_upstreams.size(); ++tries) {
        const auto upstream = m_upstreamTurn++ % m_upstreams.size();
        if (m_upstreams[upstream].upAt <= m_now) {
            const bool isLate = m_fifthCrash != SteadyTime::max() && m_now > m_fifthCrash + contactTime;
            m_result.lateDeadlyRuns += deadly && isLate ? 1 : 0;
            m_answers.push_back({host, suspect, upstream, m_now + (deadly ? firstEventTime : answerTime), deadly, isRetry});
            return true;
        }
    }
    return false;
}

void SharedPartFleet::endDue()
{
    std::vector<std::size_t> crashing;
    std::erase_if(m_answers, [&](const Answer &it) {
        const bool survived = it.endsAt <= m_now && !it.deadly;
        if (survived) {
            m_hosts[it.host].onSurvived(it.suspect, m_now);
        } else if (it.endsAt <= m_now) {
            crashing.push_back(it.upstream);
        }
        return survived;
    });
    std::ranges::for_each(crashing, [this](std::size_t it) { crash(it); });
}

void SharedPartFleet::crashDue()
{
    if (m_settings.ordinaryCrashInterval.count() > 0 && m_nextOrdinaryCrash <= m_now) {
        m_nextOrdinaryCrash += m_settings.ordinaryCrashInterval;
        const auto it = std::ranges::find_if(m_answers, [](const Answer &answer) { return !answer.deadly; });
        if (it != m_answers.end()) {
            crash(it->upstream);
        }
    }
}

void SharedPartFleet::crash(std::size_t upstream)
{
    auto &process = m_upstreams[upstream];
    if (process.upAt > m_now) {
        return;
    }
    const CrashId id{upstream, process.incarnation};
    ++process.incarnation;
    process.upAt = m_now + upstreamRestartTime;
    if (++m_result.crashes == fifth) {
        m_fifthCrash = m_now;
    }
    std::vector<Answer> broken;
    std::erase_if(m_answers, [&](const Answer &it) {
        if (it.upstream == upstream) {
            broken.push_back(it);
        }
        return it.upstream == upstream;
    });
    for (const auto &it : broken) {
        m_hosts[it.host].onCrash(id, it.suspect, m_upstreams.size(), m_now);
        // Each request may run at two upstreams.
        if (!it.isRetry && !m_hosts[it.host].refusedFor(it.suspect, m_now)) {
            begin(it.host, it.suspect, it.deadly, true);
        }
    }
}

} // namespace guavafield::test
