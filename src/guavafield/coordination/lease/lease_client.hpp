// One host's part in one lease: takes, renews and releases it, and says whether the host may send.
#pragma once

#include <guavafield/coordination/lease/lease_record.hpp>
#include <guavafield/coordination/table/table_io.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief What a keeper is created with. */
struct LeaseSettings
{
    std::string name;
    LeaseHolder self;
    Milliseconds term{10'000};
    Milliseconds renewEvery{3'000};
    // Delay after a failed operation; also the interval of reads of the list of hosts while it is needed.
    Milliseconds retryEvery{1'000};
    // Whether earlier holders are kept on record until they have released; needed for SendRule::SoleHolder.
    bool recordsUnreleased{true};
    // Time before the driver's first step, in which the hosts may learn of each other and of the holder.
    Milliseconds firstStepDelay{0};
    // Extra wait per rank, so that a lapse is followed by one attempt and not by one of each host.
    Milliseconds takeOverDelayPerRank{500};
};

/*! @brief Read the platform's list of hosts and feed it back. */
struct ListHostsAction
{
};

/*! @brief The host has taken the lease (or recovered it), or has lost it; for log and counters only. */
struct LeaseChanged
{
    bool held{false};
    Fence fence{0};
};

using LeaseAction = std::variant<TransactAction, ReadAction, ListHostsAction, LeaseChanged>;

/*! @brief Whom a send under a lease may collide with. */
enum class SendRule : std::uint8_t {
    // The receiver checks fencing tokens, or no earlier holder can address it: holding the lease suffices.
    Holder,
    // The receiver ignores fencing tokens: every earlier holder must have released.
    SoleHolder,
};

/*!
 * @brief Keeps one lease.
 *
 * Time is the host's own steady clock, which runs at most 5% fast or slow. Each action gets one reply through the on...() functions;
 * at most one table operation is outstanding. Not safe for several threads.
 */
class LeaseClient
{
public:
    LeaseClient(LeaseSettings settings, LeaseCodec codec);

    /*! @brief Returns what to do now; call several times a second and after each reply. */
    [[nodiscard]] std::vector<LeaseAction> step(SteadyTime now);
    [[nodiscard]] std::vector<LeaseAction> onTransaction(const TransactionReply &reply, SteadyTime now);
    [[nodiscard]] std::vector<LeaseAction> onRead(const ReadReply &reply, SteadyTime now);
    /*! @brief Takes the platform's list of hosts; empty if it could not be read. */
    [[nodiscard]] std::vector<LeaseAction> onHosts(std::span<const ListedHost> hosts, SteadyTime now);

    /*! @brief Sets the position among the candidates, see candidateRank(). */
    void setRank(std::uint32_t rank) noexcept;
    /*! @brief Another host says that it holds the lease; as long as it does, this host need not read the row. */
    void onHolderAnnounced(std::string_view holder, Fence fence, SteadyTime now);
    /*! @brief A host says that it does not hold the lease. */
    void onNonHolderAnnounced(std::string_view host) noexcept;
    /*! @brief An operator confirms that this life of a host will never send again. */
    void confirmGone(const LeaseHolder &holder);
    /*! @brief Stops renewing and releases the lease as soon as no send is in progress. */
    void stop() noexcept;
    /*! @brief Returns whether stop() has been carried out: the row names this host nowhere. */
    [[nodiscard]] bool stopped() const noexcept;

    /*! @brief Returns the fencing token while the lease is held. */
    [[nodiscard]] std::optional<Fence> fence(SteadyTime now) const noexcept;
    /*! @brief Returns whether an order may go to a receiver that ignores fencing tokens. */
    [[nodiscard]] bool mayOrderWithoutFencing(SteadyTime now) const noexcept;

    /*!
     * @brief Starts a send; the release waits until endSend().
     *
     * A process that is paused between this check and the send therefore stays on the list of unreleased holders.
     * @return The fencing token to send, or nothing if the rule forbids the send.
     */
    [[nodiscard]] std::optional<Fence> beginSend(SendRule rule, SteadyTime now) noexcept;
    /*! @brief The send is over: answered, or its connection is closed. */
    void endSend() noexcept;

    /*! @brief Returns the earlier holders that block unchecked sends, as last read. */
    [[nodiscard]] const std::vector<LeaseHolder> &unreleased() const noexcept;

private:
    [[nodiscard]] bool holds(SteadyTime now) const noexcept;
    [[nodiscard]] bool isRecordedHolder() const noexcept;
    [[nodiscard]] bool holderRecentlyAnnounced(SteadyTime now) const noexcept;
    [[nodiscard]] SteadyTime takeOverDueAt() const noexcept;
    [[nodiscard]] std::vector<LeaseAction> advance(SteadyTime now);
    [[nodiscard]] std::optional<LeaseAction> nextOperation(SteadyTime now);
    [[nodiscard]] std::optional<LeaseAction> nextAsHolder(SteadyTime now);
    [[nodiscard]] std::optional<LeaseAction> nextAsCandidate(SteadyTime now);
    [[nodiscard]] bool hasConfirmedUnreleased() const noexcept;
    [[nodiscard]] LeaseAction read(SteadyTime now);
    [[nodiscard]] LeaseAction takeOver(SteadyTime now);
    [[nodiscard]] LeaseAction writeAsHolder(LeaseRecord record, SteadyTime now);
    [[nodiscard]] LeaseAction write(LeaseRecord record);
    [[nodiscard]] std::string uniqueId();
    void removeConfirmedGone(LeaseRecord &record) const;
    void applyRow(const Row &row, SteadyTime now);
    void applyRecord(LeaseRecord record, RowVersion version, SteadyTime now);

    LeaseSettings m_settings;
    LeaseCodec m_codec;
    RowKey m_key;
    std::uint32_t m_rank{0};
    bool m_stopping{false};

    // The row as last seen; version 0 and an empty record if it is absent.
    LeaseRecord m_record;
    RowVersion m_version{0};
    bool m_rowKnown{false};
    // When this host first saw the row's present holder and renewal.
    SteadyTime m_unchangedSince{};

    // The host that said last that it holds the lease, and when.
    HostId m_announcedHolder;
    std::optional<SteadyTime> m_holderAnnouncedAt;

    // Renewals sent and not yet known to have failed, with the time before they were sent.
    std::map<std::string, SteadyTime> m_pendingRenewals;
    std::uint64_t m_lastId{0};
    // Written by the outstanding transaction.
    LeaseRecord m_pendingRecord;
    bool m_outstanding{false};
    bool m_mustRead{true};
    SteadyTime m_notBefore{};
    SteadyTime m_lastRead{};
    SteadyTime m_nextRenewal{};

    // Belief ends here on the own clock; the epoch if there is none.
    SteadyTime m_validUntil{};
    bool m_reportedHeld{false};
    std::uint32_t m_sendsInProgress{0};

    std::vector<LeaseHolder> m_confirmedGone;
    bool m_listOutstanding{false};
    SteadyTime m_nextList{};
};

} // namespace guavafield
