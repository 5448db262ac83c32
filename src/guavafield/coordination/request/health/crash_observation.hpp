// What a host sees of crashes of upstreams, and what it tells the other hosts about them.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/state/types.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <tuple>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief A request whose answer an upstream had not begun, or had just begun, when it crashed. */
struct CrashSuspect
{
    // Identifies the request, its retries and its repeats by the caller.
    std::uint64_t request{0};
    // Parts of its prompt that other requests may share, most general first.
    std::vector<std::uint64_t> parts;
    // The answer had begun.
    bool answerBegan{false};

    /*! @brief Returns whether the feature is one of the parts or the request itself. */
    [[nodiscard]] bool holds(std::uint64_t feature) const;
    /*! @brief Returns whether it holds each of the features. */
    [[nodiscard]] bool holdsAll(std::span<const std::uint64_t> features) const;

    friend bool operator==(const CrashSuspect &, const CrashSuspect &) = default;
};

/*! @brief Returns what identifies a request and its shared parts as a suspect. */
[[nodiscard]] CrashSuspect crashSuspectOf(const RequestInfo &request);

/*! @brief Identifies the crash of an upstream; the same on all hosts. */
struct CrashId
{
    // stableIdHash() of the upstream.
    std::uint64_t upstream{0};
    // Of the process that ended.
    Incarnation incarnation{0};

    friend bool operator<(const CrashId &left, const CrashId &right) noexcept
    {
        return std::tie(left.upstream, left.incarnation) < std::tie(right.upstream, right.incarnation);
    }
    friend bool operator==(const CrashId &, const CrashId &) = default;
};

/*! @brief Suspects of one crash on one host. */
struct CrashObservation
{
    CrashId crash;
    // Time since the crash.
    Milliseconds age{0};
    std::vector<CrashSuspect> suspects;
};

/*! @brief An answer to a request with this part, or to this request, got past its beginning; the part or the request has been suspected. */
struct SurvivalObservation
{
    std::uint64_t feature{0};
    Milliseconds age{0};
};

/*! @brief Parts of which requests are refused that hold all of them, or one request that is refused. */
struct CrashVerdict
{
    // Not empty; the most suspect one first. Hosts of earlier versions know only that one.
    std::vector<std::uint64_t> features;
    Milliseconds age{0};
};

/*! @brief A new verdict, for the log. */
struct CrashConviction
{
    std::vector<std::uint64_t> features;
    // Crashes that spoke against them on this host; 0 if another host convicted them.
    std::size_t crashes{0};
    // All crashes that this host compared.
    std::size_t crashesKnown{0};
};

/*! @brief A feature that no verdict names any more, as an answer with it survived or a later verdict explains its crashes; for the log. */
struct CrashAcquittal
{
    std::uint64_t feature{0};
};

using CrashDecision = std::variant<CrashConviction, CrashAcquittal>;

/*! @brief What one host tells the others. Complete as far as it goes: a later one includes all that still matters of earlier ones. */
struct CrashKnowledge
{
    std::vector<CrashObservation> crashes;
    std::vector<SurvivalObservation> survivals;
    std::vector<CrashVerdict> verdicts;
};

} // namespace guavafield
