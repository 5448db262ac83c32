// Requests under suspicion of crashing upstreams, and those refused for it.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>

#include <map>
#include <optional>
#include <vector>

namespace guavafield {

/*! @brief Remembers fingerprints; each is keyed by its team, so that no other team is affected. */
class CrashTracker
{
public:
    /*! @brief How long a request is refused, and how long a suspicion is kept. */
    static constexpr Milliseconds retention{600'000};

    /*! @brief Returns the time for which a request is still refused; empty if it is not. */
    [[nodiscard]] std::optional<Milliseconds> quarantineRemaining(const Digest &fingerprint, SteadyTime now) const;
    /*! @brief Whether the request was on an upstream that crashed, and has not completed since. */
    [[nodiscard]] bool isSuspect(const Digest &fingerprint, SteadyTime now) const;

    void suspect(const Digest &fingerprint, SteadyTime now);
    /*! @brief Counts a crash of an upstream on which the request was the only suspect; returns how many there were. */
    std::uint32_t onSoleSuspectCrash(const Digest &fingerprint, SteadyTime now);
    void clear(const Digest &fingerprint);
    void quarantine(const Digest &fingerprint, Milliseconds remaining, SteadyTime now);

    /*! @brief Returns the records in force, newest first. */
    [[nodiscard]] std::vector<CrashRecord> records(SteadyTime now) const;

private:
    // Bounds the memory that callers can claim by crashing upstreams.
    static constexpr std::size_t maxEntries = 10'000;

    using ExpiryMap = std::map<Digest, SteadyTime>;
    static void store(ExpiryMap &entries, const Digest &fingerprint, SteadyTime until, SteadyTime now);

    ExpiryMap m_suspects;
    // Lone crashes of suspects; no more entries than m_suspects.
    std::map<Digest, std::uint32_t> m_soleSuspectCrashes;
    ExpiryMap m_quarantined;
};

} // namespace guavafield
