// Admission control: refuses requests that are predicted to miss their targets.
#pragma once

#include <guavafield/coordination/request/admission/service_times.hpp>
#include <guavafield/coordination/request/scheduler/pool.hpp>

#include <optional>

namespace guavafield {

/*! @brief Admits or refuses requests based on the predicted queueing delay. */
class AdmissionControl
{
public:
    AdmissionControl(ServiceTimes &times, std::uint64_t seed) noexcept : m_times(times), m_random(seed) { }

    /*! @brief Sets the expected cost, the expected work and the latest start time of a new request. */
    void estimate(RequestEntry &entry, const Model &model);

    /*!
     * @brief Decides whether to admit a request; requires a prior call of estimate().
     *
     * The decision on a top-tier request depends only on work of that tier.
     * @return The refusal, or empty if the request is admitted.
     */
    [[nodiscard]] std::optional<Refused> check(const Pool &pool, const RequestEntry &entry, SteadyTime now);

    /*! @brief Creates a refusal whose retry delay is the drain time with jitter. */
    [[nodiscard]] Refused refusal(ResultCode code, double drainSeconds);

private:
    /*! @brief Queueing time in seconds that still meets each target; negative if the target cannot be met at all. */
    struct Allowance
    {
        double firstToken{0};
        double total{0};
    };
    struct Prediction
    {
        double wait{0};
        // Wait if the backlog of fair queueing is ignored, i.e. if the team had not exceeded its share.
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
