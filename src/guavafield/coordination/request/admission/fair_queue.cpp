// Start-time fair queueing; service is charged as tokens arrive.
#include <guavafield/coordination/request/admission/fair_queue.hpp>

#include <guavafield/coordination/request/upstream_state.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// Bounds the search for a requeued request whose previous upstream has a free slot.
constexpr int maxRequeuedScanned = 16;

} // namespace internal

FairQueue::TeamNode &FairQueue::teamOf(const RequestInfo &request)
{
    auto it = m_teams.find(request.team);
    if (it == m_teams.end()) {
        it = m_teams.emplace(request.team, TeamNode{}).first;
        it->second.index = ++m_nextIndex;
        it->second.virtualTime = m_virtualTime;
    }
    if (it->second.waiting.empty()) {
        it->second.share = request.share;
    }
    return it->second;
}

FairQueue::ClassNode &FairQueue::classOf(const RequestInfo &request)
{
    auto &node = m_classes[{request.team, request.className}];
    if (node.index == 0) {
        node.index = ++m_nextIndex;
    }
    return node;
}

void FairQueue::push(RequestEntry &entry)
{
    m_byLatestStart.insert(&entry);
    m_waitingCost += entry.expectedCost;
    m_waitingWork += entry.work;
    auto &classNode = classOf(entry.info);
    if (classNode.waiting.empty()) {
        m_classOrder.insert(orderKeyOf(classNode));
    }
    classNode.waiting.insert(&entry);
    if (entry.requeued) {
        m_requeued.insert(&entry);
        return;
    }
    auto &team = teamOf(entry.info);
    if (team.waiting.empty()) {
        // A team that was idle starts at the queue's virtual time and accrues no credit for the idle time.
        team.virtualTime = std::max(team.virtualTime, m_virtualTime);
        m_teamOrder.insert(orderKeyOf(team));
        m_waitingShares += team.share;
    }
    team.waiting.insert(&entry);
    team.waitingCost += entry.expectedCost;
}

void FairQueue::remove(RequestEntry &entry)
{
    m_byLatestStart.erase(&entry);
    m_waitingCost = m_byLatestStart.empty() ? 0 : m_waitingCost - entry.expectedCost;
    m_waitingWork = m_byLatestStart.empty() ? 0 : m_waitingWork - entry.work;
    auto &classNode = classOf(entry.info);
    classNode.waiting.erase(&entry);
    if (classNode.waiting.empty()) {
        m_classOrder.erase(orderKeyOf(classNode));
    }
    if (m_requeued.erase(&entry) > 0) {
        return;
    }
    auto &team = teamOf(entry.info);
    team.waiting.erase(&entry);
    team.waitingCost = team.waiting.empty() ? 0 : team.waitingCost - entry.expectedCost;
    if (team.waiting.empty()) {
        m_teamOrder.erase(orderKeyOf(team));
        m_waitingShares = m_teamOrder.empty() ? 0 : m_waitingShares - team.share;
    }
}

RequestEntry *FairQueue::front(SteadyTime now) const noexcept
{
    int scanned = 0;
    for (auto it = m_requeued.begin(); it != m_requeued.end() && scanned < internal::maxRequeuedScanned; ++it, ++scanned) {
        const auto &entry = **it;
        const bool previousIsFree = entry.previousUpstream != nullptr && entry.previousUpstream->usable() && entry.previousUpstream->hasFreeSlot();
        if (previousIsFree || entry.waitsForPreviousUntil <= now) {
            return *it;
        }
    }
    return m_teamOrder.empty() ? nullptr : *m_teamOrder.begin()->second->waiting.begin();
}

RequestEntry *FairQueue::frontOfLeastServedClass() const noexcept
{
    return m_classOrder.empty() ? nullptr : *m_classOrder.begin()->second->waiting.begin();
}

RequestEntry *FairQueue::earliestLatestStart() const noexcept
{
    return m_byLatestStart.empty() ? nullptr : *m_byLatestStart.begin();
}

void FairQueue::take(RequestEntry &entry)
{
    if (!entry.requeued && !m_teamOrder.empty()) {
        // Uses the smallest start tag in the queue, so that an out-of-order floor dispatch does not advance the virtual time.
        m_virtualTime = std::max(m_virtualTime, m_teamOrder.begin()->second->virtualTime);
    }
    remove(entry);
    auto &classNode = classOf(entry.info);
    const bool waits = !classNode.waiting.empty();
    if (waits) {
        m_classOrder.erase(orderKeyOf(classNode));
    }
    classNode.lastServed = ++m_dispatchCount;
    if (waits) {
        m_classOrder.insert(orderKeyOf(classNode));
    }
}

void FairQueue::advanceTeam(TeamNode &node, double cost)
{
    const bool waits = !node.waiting.empty();
    if (waits) {
        m_teamOrder.erase(orderKeyOf(node));
    }
    node.virtualTime += cost / node.share;
    if (waits) {
        m_teamOrder.insert(orderKeyOf(node));
    }
}

void FairQueue::charge(const RequestInfo &request, double cost)
{
    auto &team = teamOf(request);
    team.served += cost;
    advanceTeam(team, cost);
}

void FairQueue::chargePeer(std::string_view team, double cost)
{
    if (const auto it = m_teams.find(team); it != m_teams.end()) {
        advanceTeam(it->second, cost);
    }
}

void FairQueue::eraseIdleTeams(const std::set<std::string, std::less<>> &keep)
{
    std::erase_if(m_teams, [&](const auto &it) { return it.second.waiting.empty() && !keep.contains(it.first); });
    std::erase_if(m_classes, [&](const auto &it) { return it.second.waiting.empty() && !keep.contains(it.first.first); });
}

double FairQueue::costAhead(const RequestInfo &request) const
{
    const auto it = m_teams.find(request.team);
    const bool waits = it != m_teams.end() && !it->second.waiting.empty();
    const double shares = m_waitingShares + (waits ? 0 : request.share);
    // Each waiting team receives service equal to its share per unit of virtual time.
    double own = 0;
    if (it != m_teams.end()) {
        own = std::max(0.0, it->second.virtualTime - m_virtualTime) * request.share + it->second.waitingCost;
    }
    return std::min(m_waitingCost, own * shares / request.share);
}

bool FairQueue::hasWaitingRequest(const RequestInfo &request) const
{
    const auto it = m_classes.find({request.team, request.className});
    return it != m_classes.end() && !it->second.waiting.empty();
}

std::size_t FairQueue::classesAhead(const RequestInfo &request) const
{
    const auto it = m_classes.find({request.team, request.className});
    const auto lastServed = it != m_classes.end() ? it->second.lastServed : 0;
    const bool first = m_classOrder.empty() || m_classOrder.begin()->second->lastServed > lastServed;
    return first ? 0 : m_classOrder.size();
}

double FairQueue::servedCost(std::string_view team) const
{
    const auto it = m_teams.find(team);
    return it != m_teams.end() ? it->second.served : 0;
}

} // namespace guavafield
