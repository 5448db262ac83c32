// Predicts whether a request meets its targets and refuses it at once if not.
#pragma once

#include <guavafield/coordination/request/pool.hpp>
#include <guavafield/coordination/request/service_times.hpp>

#include <optional>

namespace guavafield {

/*! @brief The admission decision. */
class AdmissionControl
{
public:
    AdmissionControl(ServiceTimes &times, std::uint64_t seed) noexcept : m_times(times), m_random(seed) { }

    /*! @brief Fills the expected cost, work and latest start of a new request. */
    void estimate(RequestEntry &entry, const Model &model);

    /*!
     * @brief Decides on a request after estimate().
     *
     * For the top tier the decision depends on work of that tier alone.
     * @return The refusal, or empty if the request is admitted.
     */
    [[nodiscard]] std::optional<Refused> check(const Pool &pool, const RequestEntry &entry, SteadyTime now);

    /*! @brief Makes a refusal with jitter on the time to wait. */
    [[nodiscard]] Refused refusal(ResultCode code, double drainSeconds);

private:
    /*! @brief Seconds that a request may wait; negative if no wait is short enough. */
    struct Allowance
    {
        double firstToken{0};
        double total{0};
    };
    struct Prediction
    {
        double wait{0};
        // The wait if no team had used more than its share.
        double waitWithoutShare{0};
        ResultCode cause{ResultCode::FirstTokenTargetUnreachable};
    };

    [[nodiscard]] Allowance allowance(const RequestInfo &request, SteadyTime now);
    [[nodiscard]] static Prediction predictTopTier(const Pool &pool, const RequestEntry &entry);
    [[nodiscard]] static Prediction predictLowerTier(const Pool &pool, const RequestEntry &entry, SteadyTime now);
    [[nodiscard]] static bool floorServesInTime(const Pool &pool, const RequestEntry &entry, double allowed, SteadyTime now);

    ServiceTimes &m_times;
    SplitMix m_random;
};

} // namespace guavafield
