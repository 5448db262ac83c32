// Chooses what a datagram carries beside its own purpose, within a budget of bytes.
#pragma once

#include <guavafield/coordination/membership/member_table.hpp>
#include <guavafield/coordination/membership/peer_message.hpp>
#include <guavafield/coordination/membership/token_bucket.hpp>
#include <guavafield/coordination/membership/transmit_limited_queue.hpp>

#include <cstdint>
#include <map>
#include <random>

namespace guavafield {

/*! @brief News of all parts of the daemon on their way to the peers. */
class Piggyback
{
public:
    /*! @param bytesPerSecond Average of bytes sent that the budget allows. */
    Piggyback(double bytesPerSecond, SteadyTime now);

    /*! @brief Queues a statement about a member, which is read from the table when it is sent. */
    void queueMember(const HostId &id)
    {
        m_members.add(id);
    }
    /*! @brief Queues a key withdrawal; false if it was known. */
    bool queueWithdrawal(const KeyId &key, SteadyTime now);
    /*! @brief Queues a crash record; false if it was known. */
    bool queueCrash(const CrashRecord &record, SteadyTime now);
    /*! @brief Sets this host's own figures. */
    void setDemand(std::vector<TeamDemand> teams, SteadyTime now);
    /*! @brief Keeps another host's figures to pass them on; false if newer ones are known. */
    bool recordDemand(const DemandReport &report, SteadyTime now);

    /*!
     * @brief Fills a message up and charges it to the budget.
     * @param message Complete but for its news; its self is the sender.
     * @param recipient Null if only an address is known.
     */
    void fill(PeerMessage &message, const Member *recipient, const MemberTable &table, std::mt19937_64 &random, SteadyTime now);
    /*! @brief Charges a message that was not filled. */
    void charge(const PeerMessage &message) noexcept
    {
        m_bytes.spend(static_cast<double>(encodedBound(message)));
    }
    /*! @brief Says whether the budget allows a datagram that may be omitted. */
    [[nodiscard]] bool hasBudget(SteadyTime now) noexcept
    {
        return m_bytes.available(now) > 0;
    }
    /*! @brief Forgets what is too old to matter. */
    void expire(SteadyTime now);

private:
    /*! @brief Figures of a host and when they were measured. */
    struct Demand
    {
        SteadyTime measured;
        std::vector<TeamDemand> teams;
    };

    void addUpdates(PeerMessage &message, const MemberTable &table, std::size_t limit, std::uint32_t sendLimit);
    void addDemand(PeerMessage &message, std::size_t limit, SteadyTime now);

    // Bytes that may be sent.
    TokenBucket m_bytes;
    TransmitLimitedQueue<HostId> m_members;
    TransmitLimitedQueue<KeyId> m_withdrawals;
    TransmitLimitedQueue<Digest> m_crashes;
    // When each withdrawal was first heard of; bounded by age and number.
    std::map<KeyId, SteadyTime> m_knownWithdrawals;
    // When each crash record ends.
    std::map<Digest, SteadyTime> m_knownCrashes;
    Demand m_ownDemand;
    TransmitLimitedQueue<HostId> m_demandHosts;
    std::map<HostId, Demand> m_demand;
};

} // namespace guavafield
