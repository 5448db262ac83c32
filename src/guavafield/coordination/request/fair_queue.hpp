// The queue of one tier of one pool: start-time fair queueing over teams, earliest deadline first within a team.
#pragma once

#include <guavafield/coordination/request/request_entry.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace guavafield {

/*! @brief Requests of one tier that wait. Every operation takes O(log n) in teams, classes and requests. */
class FairQueue
{
public:
    void push(RequestEntry &entry);
    void remove(RequestEntry &entry);

    /*! @brief Returns the next request in order, or null. Requests that have run before come first, unless they wait for their home. */
    [[nodiscard]] RequestEntry *front(SteadyTime now) const noexcept;
    /*! @brief Returns the first request of the class that was served least recently, or null. */
    [[nodiscard]] RequestEntry *frontOfLeastServedClass() const noexcept;
    /*! @brief Returns the request that has to start first, or null. */
    [[nodiscard]] RequestEntry *mostUrgent() const noexcept;

    /*! @brief Takes a request out of the queue because it is dispatched. */
    void take(RequestEntry &entry);

    /*! @brief Adds service to a team's virtual time; a negative amount gives back an earlier charge. */
    void charge(const RequestInfo &request, double cost);
    /*! @brief Adds service that a peer gave a team, if the team is known here. */
    void chargePeer(std::string_view team, double cost);
    /*! @brief Forgets a team without waiting requests. */
    void eraseIdleTeams(const std::set<std::string, std::less<>> &keep);

    /*! @brief Cost that is served before a new request of this team, at most the whole queue. */
    [[nodiscard]] double costAhead(const RequestInfo &request) const;
    /*! @brief Whether the class of a request has a request waiting. */
    [[nodiscard]] bool classWaits(const RequestInfo &request) const;
    /*! @brief Waiting classes that were served less recently than that of a request, at most. */
    [[nodiscard]] std::size_t classesAhead(const RequestInfo &request) const;
    /*! @brief Recent service of a team in this queue. */
    [[nodiscard]] double servedCost(std::string_view team) const;

    [[nodiscard]] bool empty() const noexcept
    {
        return m_byLatestStart.empty();
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_byLatestStart.size();
    }
    [[nodiscard]] double waitingCost() const noexcept
    {
        return m_waitingCost;
    }
    /*! @brief Seconds in a slot that the waiting requests are expected to need. */
    [[nodiscard]] double waitingWork() const noexcept
    {
        return m_waitingWork;
    }

private:
    struct TeamNode
    {
        std::uint64_t index{0};
        double share{1};
        // Start of the team's next service; at least the queue's virtual time whenever the team begins to wait.
        double virtualTime{0};
        double waitingCost{0};
        // Charges so far, for the division of a peer's figures among tiers.
        double served{0};
        std::set<RequestEntry *, ByDeadline> waiting;
    };
    struct ClassNode
    {
        std::uint64_t index{0};
        // Number of the last take from this class; 0 if there was none.
        std::uint64_t lastServed{0};
        std::set<RequestEntry *, ByDeadline> waiting;
    };
    using ClassKey = std::pair<std::string, std::string>;
    template <typename Node>
    using OrderKey = std::pair<std::pair<double, std::uint64_t>, Node *>;

    static OrderKey<TeamNode> orderKeyOf(TeamNode &node) noexcept
    {
        return {{node.virtualTime, node.index}, &node};
    }
    static OrderKey<ClassNode> orderKeyOf(ClassNode &node) noexcept
    {
        return {{static_cast<double>(node.lastServed), node.index}, &node};
    }

    [[nodiscard]] TeamNode &teamOf(const RequestInfo &request);
    [[nodiscard]] ClassNode &classOf(const RequestInfo &request);
    void advanceTeam(TeamNode &node, double cost);

    std::uint64_t m_nextIndex{0};
    std::uint64_t m_dispatchCount{0};
    double m_virtualTime{0};
    double m_waitingCost{0};
    double m_waitingWork{0};
    // Sum of the shares of the teams that wait.
    double m_waitingShares{0};
    StringMap<TeamNode> m_teams;
    std::map<ClassKey, ClassNode> m_classes;
    // Only teams and classes with waiting requests.
    std::set<OrderKey<TeamNode>> m_teamOrder;
    std::set<OrderKey<ClassNode>> m_classOrder;
    std::set<RequestEntry *, ByDeadline> m_requeued;
    // All waiting requests.
    std::set<RequestEntry *, ByLatestStart> m_byLatestStart;
};

} // namespace guavafield
