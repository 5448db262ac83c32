// Queue of one tier of a pool: start-time fair queueing across teams, earliest deadline first within a team.
#pragma once

#include <guavafield/coordination/request/request_entry.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace guavafield {

/*! @brief Waiting requests of one tier. Operations are O(log n) in the number of teams, classes and requests. */
class FairQueue
{
public:
    void push(RequestEntry &entry);
    void remove(RequestEntry &entry);

    /*! @brief Returns the next request, or null. Requeued requests come first unless they wait for their previous upstream. */
    [[nodiscard]] RequestEntry *front(SteadyTime now) const noexcept;
    /*! @brief Returns the first request of the least recently served class, or null. */
    [[nodiscard]] RequestEntry *frontOfLeastServedClass() const noexcept;
    /*! @brief Returns the request with the earliest latest start time, or null. */
    [[nodiscard]] RequestEntry *earliestLatestStart() const noexcept;

    /*! @brief Removes a request for dispatch and updates the virtual time and the order of classes. */
    void take(RequestEntry &entry);

    /*! @brief Charges service to a team's virtual time; a negative cost refunds an earlier charge. */
    void charge(const RequestInfo &request, double cost);
    /*! @brief Charges service that a peer gave to a team, if the team is known here. */
    void chargePeer(std::string_view team, double cost);
    /*! @brief Erases the teams and classes that have no waiting requests and whose team is not to be kept. */
    void eraseIdleTeams(const std::set<std::string, std::less<>> &keep);

    /*! @brief Returns the cost served before a new request of this team, at most that of the whole queue. */
    [[nodiscard]] double costAhead(const RequestInfo &request) const;
    /*! @brief Whether requests of the same team and class are waiting. */
    [[nodiscard]] bool hasWaitingRequest(const RequestInfo &request) const;
    /*! @brief Returns an upper bound of the waiting classes that were served less recently than the request's class. */
    [[nodiscard]] std::size_t classesAhead(const RequestInfo &request) const;
    /*! @brief Returns the total cost charged to a team in this queue. */
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
    /*! @brief Returns the slot time in seconds that the waiting requests are expected to need. */
    [[nodiscard]] double waitingWork() const noexcept
    {
        return m_waitingWork;
    }

private:
    struct TeamNode
    {
        std::uint64_t index{0};
        double share{1};
        // Start tag of the team's next service; at least the queue's virtual time when the team becomes backlogged.
        double virtualTime{0};
        double waitingCost{0};
        // Total charged cost, used to divide a peer's reported service among queues.
        double served{0};
        std::set<RequestEntry *, ByDeadline> waiting;
    };
    struct ClassNode
    {
        std::uint64_t index{0};
        // Sequence number of the last dispatch from this class; 0 if there was none.
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
    // Sum of the shares of all teams with waiting requests.
    double m_waitingShares{0};
    StringMap<TeamNode> m_teams;
    std::map<ClassKey, ClassNode> m_classes;
    // Contain only teams and classes with waiting requests.
    std::set<OrderKey<TeamNode>> m_teamOrder;
    std::set<OrderKey<ClassNode>> m_classOrder;
    std::set<RequestEntry *, ByDeadline> m_requeued;
    // All waiting requests.
    std::set<RequestEntry *, ByLatestStart> m_byLatestStart;
};

} // namespace guavafield
