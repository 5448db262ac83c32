// What upstreams said about themselves in their answers: that they leave, want no requests for a time, or limit their rate.
#pragma once

#include <guavafield/coordination/request/limits/rate_limit.hpp>
#include <guavafield/state/types.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace guavafield {

/*! @brief What holds for one incarnation of an upstream. */
struct UpstreamNotice
{
    bool leaving{false};
    // No request is wanted before.
    SteadyTime pausedUntil{};
    // Requests a second that it takes from all hosts together.
    double rateLimit{unlimitedRate};
    // Requests a second that it can reject before it falls over.
    double rejectionLimit{unlimitedRate};
};

/*!
 * @brief Remembers notices by incarnation.
 *
 * They outlive what else is known of an upstream: one whose entry in the platform's table lapses and returns is still leaving or paused. A new
 * incarnation has said nothing yet.
 */
class UpstreamNotices
{
public:
    /*! @brief Far longer than an upstream serves after it announced that it leaves. */
    static constexpr Milliseconds retention{600'000};
    /*! @brief Bounds what a faulty upstream can ask for. */
    static constexpr Milliseconds maxPause{600'000};

    /*! @brief Records that the upstream leaves. */
    void announceDrain(const UpstreamId &upstream, Incarnation incarnation, SteadyTime now);
    /*! @brief Records that the upstream wants no requests for a time; a shorter pause does not end a longer one. */
    void requestPause(const UpstreamId &upstream, Incarnation incarnation, Milliseconds pause, SteadyTime now);
    /*!
     * @brief Records a rate limit, or that an answer named none; returns whether the limit changed.
     * @param perSecond unlimitedRate if the answer named no limit.
     * @param statedAt When the answer arrived. For an answer without a limit, when its request was sent: it may have been overtaken.
     */
    bool limitRate(const UpstreamId &upstream, Incarnation incarnation, double perSecond, SteadyTime statedAt, SteadyTime now);
    /*! @brief Records in the same way how many requests a second the upstream can reject before it falls over. */
    bool limitRejections(const UpstreamId &upstream, Incarnation incarnation, double perSecond, SteadyTime statedAt, SteadyTime now);
    /*!
     * @brief Ends the limits of rejections that were not stated again lately; a host that owns no part of an upstream gets no answers from it.
     * @returns Whether any were in force.
     */
    bool expireRejectionLimits(SteadyTime now);
    /*! @brief Records that this host found a limit changed, for its reports. */
    void announceRate(const UpstreamId &upstream, SteadyTime now);
    /*! @brief Returns the latest changes of limits that this host found, newest first; bounded in number. */
    [[nodiscard]] std::vector<RateLimitObservation> rateNews(SteadyTime now) const;
    /*! @brief Returns what this incarnation of the upstream said. */
    [[nodiscard]] UpstreamNotice find(const UpstreamId &upstream, Incarnation incarnation) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_records.size();
    }

private:
    struct Record
    {
        Incarnation incarnation{0};
        // Time of the last notice.
        SteadyTime at{};
        UpstreamNotice notice;
        // Time of the last statement about the rate.
        SteadyTime rateStatedAt{};
        SteadyTime rejectionsStatedAt{};
        // When this host found the rate changed; empty if a peer told it.
        std::optional<SteadyTime> rateNewsAt;
    };

    // Returns the record of the incarnation, empty if there was none or one of another incarnation.
    [[nodiscard]] Record &recordOf(const UpstreamId &upstream, Incarnation incarnation, SteadyTime now);

    // Bounded by retention.
    StringMap<Record> m_records;
};

} // namespace guavafield
