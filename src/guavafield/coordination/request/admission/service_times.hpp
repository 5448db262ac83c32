// Learned service times: output lengths per team, class and model; token and prefill times per model and tier.
#pragma once

#include <guavafield/coordination/request/admission/length_model.hpp>
#include <guavafield/coordination/request/request_info.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace guavafield {

/*! @brief Speed of a model as observed by the requests of one tier. */
struct ModelSpeed
{
    // Seconds per output token; the initial value is that of a mid-size engine under load.
    double tokenSeconds{0.025};
    // Seconds from dispatch to the first token, per prompt token.
    double prefillSeconds{0.00025};
    // Arrival of the most recent first token; empty before the first one.
    std::optional<SteadyTime> lastFirstToken;
};

/*! @brief Predicts the service times of requests. */
class ServiceTimes
{
public:
    /*! @brief Returns the length model of a request; its prior is derived from the targets on first use. */
    [[nodiscard]] LengthModel &lengths(const RequestInfo &request);

    /*! @brief Returns the speed observed by a tier. Tiers are separate so that none affects the predictions of another. */
    [[nodiscard]] const ModelSpeed &speed(const ModelId &model, Tier tier);

    /*! @brief Returns the expected seconds to the first token on an engine with a free slot. */
    [[nodiscard]] double prefillSeconds(const RequestInfo &request);
    /*! @brief Returns a quantile of the remaining output time in seconds, given the tokens delivered so far. */
    [[nodiscard]] double outputSeconds(const RequestInfo &request, double probability, std::uint32_t delivered = 0);
    /*! @brief Returns the expected number of remaining output tokens. */
    [[nodiscard]] double expectedTokens(const RequestInfo &request, std::uint32_t delivered = 0);

    /*!
     * @brief Whether the service times of such requests were measured recently.
     *
     * Otherwise a request must not be refused for its own length: refused requests yield no measurements, so the refusals
     * would never end.
     */
    [[nodiscard]] bool measuredRecently(const RequestInfo &request, SteadyTime now);

    /*! @brief Updates the prefill time with that of a first token. */
    void onFirstToken(const RequestInfo &request, double seconds, SteadyTime now);
    /*! @brief Updates the length model with a complete answer. */
    void onEnded(const RequestInfo &request, std::uint32_t tokens, SteadyTime now);
    /*! @brief Updates the token time with tokens that took the given time. */
    void onTokens(const RequestInfo &request, double seconds, std::uint32_t count);

    /*! @brief Erases the data of all teams but those given. */
    void retainTeams(const std::set<std::string, std::less<>> &teams);

private:
    using LengthKey = std::tuple<TeamId, std::string, ModelId>;
    struct AnswerLengths
    {
        LengthModel model;
        std::optional<SteadyTime> lastEnd{};
    };

    [[nodiscard]] AnswerLengths &answerLengthsOf(const RequestInfo &request);
    [[nodiscard]] ModelSpeed &speedOf(const ModelId &model, Tier tier);

    std::map<LengthKey, AnswerLengths> m_lengths;
    StringMap<std::array<ModelSpeed, tierCount>> m_speeds;
};

} // namespace guavafield
