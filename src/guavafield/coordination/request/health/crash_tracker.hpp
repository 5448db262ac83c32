// Tracks requests that are suspected of crashing upstreams and those in quarantine.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>

#include <map>
#include <optional>
#include <vector>

namespace guavafield {

/*! @brief Tracks requests by fingerprint. Fingerprints include the team, so a quarantine affects no other team. */
class CrashTracker
{
public:
    /*! @brief Duration of a quarantine and of a suspicion. */
    static constexpr Milliseconds retention{600'000};

    /*! @brief Returns the remaining quarantine of a request; empty if it is not quarantined. */
    [[nodiscard]] std::optional<Milliseconds> quarantineRemaining(const Digest &fingerprint, SteadyTime now) const;
    /*! @brief Whether the request ran on an upstream that crashed and has not completed since. */
    [[nodiscard]] bool isSuspect(const Digest &fingerprint, SteadyTime now) const;

    void suspect(const Digest &fingerprint, SteadyTime now);
    /*! @brief Counts a crash of an upstream on which the request was the sole suspect; returns the number of such crashes. */
    std::uint32_t onSoleSuspectCrash(const Digest &fingerprint, SteadyTime now);
    void clear(const Digest &fingerprint);
    void quarantine(const Digest &fingerprint, Milliseconds remaining, SteadyTime now);

    /*! @brief Returns the active quarantines, newest first. */
    [[nodiscard]] std::vector<CrashRecord> records(SteadyTime now) const;

private:
    // Bounds the memory that callers can use up by crashing upstreams.
    static constexpr std::size_t maxEntries = 10'000;

    using ExpiryMap = std::map<Digest, SteadyTime>;
    static void store(ExpiryMap &entries, const Digest &fingerprint, SteadyTime until, SteadyTime now);

    ExpiryMap m_suspects;
    // Crashes with the request as sole suspect; has no more entries than m_suspects.
    std::map<Digest, std::uint32_t> m_soleSuspectCrashes;
    ExpiryMap m_quarantined;
};

} // namespace guavafield
