// Learned service times: output lengths by team, class and model; token and prefill times by model and tier.
#pragma once

#include <guavafield/coordination/request/length_model.hpp>
#include <guavafield/coordination/request/request_info.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace guavafield {

/*! @brief Speed of a model as one tier sees it. */
struct ModelSpeed
{
    // Seconds of an output token; the start value is that of a mid-size engine under load.
    double tokenSeconds{0.025};
    // Seconds from dispatch to first token, per prompt token.
    double prefillSeconds{0.00025};
    // The last first token; unset before the first.
    std::optional<SteadyTime> lastFirstToken;
};

/*! @brief Predicts how long requests take. */
class ServiceTimes
{
public:
    /*! @brief Returns the length model of a request, made from its targets on first use. */
    [[nodiscard]] LengthModel &lengths(const RequestInfo &request);

    /*! @brief Returns the speed that requests of a tier saw. Tiers are kept apart so that none moves another's predictions. */
    [[nodiscard]] const ModelSpeed &speed(const ModelId &model, Tier tier);

    /*! @brief Seconds to the first token on an engine with a free slot. */
    [[nodiscard]] double prefillSeconds(const RequestInfo &request);
    /*! @brief Seconds of output that a part of such requests does not exceed, after the delivered tokens. */
    [[nodiscard]] double outputSeconds(const RequestInfo &request, double probability, std::uint32_t delivered = 0);
    /*! @brief Expected further output tokens. */
    [[nodiscard]] double expectedTokens(const RequestInfo &request, std::uint32_t delivered = 0);

    /*!
     * @brief Whether the times of such requests were measured lately.
     *
     * Times that were never measured, or not lately, must not refuse a request for its own length: refused requests
     * measure nothing, so that such a refusal would last.
     */
    [[nodiscard]] bool measuredRecently(const RequestInfo &request, SteadyTime now);

    /*! @brief Learns from a first token. */
    void onFirstToken(const RequestInfo &request, double seconds, SteadyTime now);
    /*! @brief Learns from a complete answer. */
    void onEnded(const RequestInfo &request, std::uint32_t tokens, SteadyTime now);
    /*! @brief Learns from tokens that took some time. */
    void onTokens(const RequestInfo &request, double seconds, std::uint32_t count);

    /*! @brief Forgets the teams that are not in the configuration. */
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
