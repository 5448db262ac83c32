// Crash suspects and quarantined requests.
#include <guavafield/coordination/request/health/crash_tracker.hpp>

#include <algorithm>

namespace guavafield {

std::optional<Milliseconds> CrashTracker::quarantineRemaining(const Digest &fingerprint, SteadyTime now) const
{
    const auto it = m_quarantined.find(fingerprint);
    if (it == m_quarantined.end() || it->second <= now) {
        return std::nullopt;
    }
    return std::chrono::ceil<Milliseconds>(it->second - now);
}

bool CrashTracker::isSuspect(const Digest &fingerprint, SteadyTime now) const
{
    const auto it = m_suspects.find(fingerprint);
    return it != m_suspects.end() && it->second > now;
}

void CrashTracker::store(ExpiryMap &entries, const Digest &fingerprint, SteadyTime until, SteadyTime now)
{
    if (entries.size() >= maxEntries) {
        std::erase_if(entries, [now](const auto &it) { return it.second <= now; });
    }
    if (entries.size() < maxEntries) {
        auto &stored = entries[fingerprint];
        stored = std::max(stored, until);
    }
}

void CrashTracker::suspect(const Digest &fingerprint, SteadyTime now)
{
    store(m_suspects, fingerprint, now + retention, now);
}

std::uint32_t CrashTracker::onSoleSuspectCrash(const Digest &fingerprint, SteadyTime now)
{
    suspect(fingerprint, now);
    std::erase_if(m_soleSuspectCrashes, [this](const auto &it) { return !m_suspects.contains(it.first); });
    return ++m_soleSuspectCrashes[fingerprint];
}

void CrashTracker::clear(const Digest &fingerprint)
{
    m_suspects.erase(fingerprint);
    m_soleSuspectCrashes.erase(fingerprint);
}

void CrashTracker::quarantine(const Digest &fingerprint, Milliseconds remaining, SteadyTime now)
{
    store(m_quarantined, fingerprint, now + std::min(remaining, retention), now);
}

std::vector<CrashRecord> CrashTracker::records(SteadyTime now) const
{
    std::vector<CrashRecord> records;
    for (const auto &[fingerprint, until] : m_quarantined) {
        if (until > now) {
            records.push_back({fingerprint, std::chrono::ceil<Milliseconds>(until - now)});
        }
    }
    std::ranges::stable_sort(records, std::ranges::greater{}, &CrashRecord::remaining);
    return records;
}

} // namespace guavafield
