// Selects the updates that are piggybacked on datagrams, within a byte budget.
#pragma once

#include <guavafield/coordination/membership/member_table.hpp>
#include <guavafield/coordination/membership/peer_message.hpp>
#include <guavafield/coordination/membership/token_bucket.hpp>
#include <guavafield/coordination/membership/transmit_limited_queue.hpp>

#include <cstdint>
#include <map>
#include <random>

namespace guavafield {

/*! @brief Updates from all parts of the daemon that are queued for gossip. */
class Piggyback
{
public:
    /*! @param bytesPerSecond Average rate of sent bytes that the budget allows. */
    Piggyback(double bytesPerSecond, SteadyTime now);

    /*! @brief Queues a member, whose statement is read from the table when it is sent. */
    void queueMember(const HostId &id)
    {
        m_members.add(id);
    }
    /*! @brief Queues a key withdrawal; returns false if it was known. */
    bool queueWithdrawal(const KeyId &key, SteadyTime now);
    /*! @brief Queues a crash record; returns false if it was known or has expired. */
    bool queueCrash(const CrashRecord &record, SteadyTime now);
    /*! @brief Sets the demand figures of this host. */
    void setDemand(std::vector<TeamDemand> teams, SteadyTime now);
    /*! @brief Stores and queues another host's figures; returns false if they are too old or not newer than the known ones. */
    bool recordDemand(const DemandReport &report, SteadyTime now);

    /*!
     * @brief Adds updates to a message and charges the message to the budget.
     * @param message Complete except for its updates; self is the sender.
     * @param recipient Null if only the address is known.
     */
    void fill(PeerMessage &message, const Member *recipient, const MemberTable &table, std::mt19937_64 &random, SteadyTime now);
    /*! @brief Charges a message without adding updates. */
    void charge(const PeerMessage &message) noexcept
    {
        m_bytes.spend(static_cast<double>(encodedBound(message)));
    }
    /*! @brief Returns whether the budget allows an optional datagram. */
    [[nodiscard]] bool hasBudget(SteadyTime now) noexcept
    {
        return m_bytes.available(now) > 0;
    }
    /*! @brief Removes expired withdrawals, crash records and demand figures. */
    void expire(SteadyTime now);

private:
    /*! @brief Demand figures of a host and the time of their measurement. */
    struct Demand
    {
        SteadyTime measured;
        std::vector<TeamDemand> teams;
    };

    void addUpdates(PeerMessage &message, const MemberTable &table, std::size_t limit, std::uint32_t sendLimit);
    void addDemand(PeerMessage &message, std::size_t limit, SteadyTime now);

    // Budget of sent bytes.
    TokenBucket m_bytes;
    TransmitLimitedQueue<HostId> m_members;
    TransmitLimitedQueue<KeyId> m_withdrawals;
    TransmitLimitedQueue<Digest> m_crashes;
    // Time at which each withdrawal became known; bounded by age and number.
    std::map<KeyId, SteadyTime> m_knownWithdrawals;
    // Expiry time of each crash record.
    std::map<Digest, SteadyTime> m_knownCrashes;
    Demand m_ownDemand;
    TransmitLimitedQueue<HostId> m_demandHosts;
    std::map<HostId, Demand> m_demand;
};

} // namespace guavafield
