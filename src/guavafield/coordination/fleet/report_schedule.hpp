// Decides to whom a host reports at each interval.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>

namespace guavafield {

/*! @brief Receivers of the report that is due. */
enum class ReportReceivers : std::uint8_t {
    None,
    // The host that holds the fleet's duties.
    DutyHolder,
    AllHosts,
};

/*! @brief What this host does for the fleet. */
struct ReportingRole
{
    // Reads the platform's tables for other hosts.
    bool readsTables{false};
    bool holdsDuties{false};
};

/*!
 * @brief Spreads the reports of a large fleet over time.
 *
 * All hosts hear each other less often the more there are, which bounds the load on each receiver. The holder of the duties hears every host in time
 * to bill a window, and is heard in time for its lease to be known to be held. Not thread-safe.
 */
class ReportSchedule
{
public:
    // Interval of next().
    static constexpr Milliseconds interval{200};

    /*! @brief Returns the receivers of the report that is due now; called once an interval. */
    [[nodiscard]] ReportReceivers next(std::size_t hosts, ReportingRole role, SteadyTime now);

    /*! @brief Records a report of a host that holds the duties. */
    void onDutyHolder(const PeerAddress &address, Fence fence, SteadyTime now) noexcept;
    /*! @brief Returns the address of the holder; empty if none was heard of recently. */
    [[nodiscard]] std::optional<PeerAddress> dutyHolder(SteadyTime now) const noexcept;

private:
    struct Holder
    {
        PeerAddress address;
        Fence fence{0};
        SteadyTime heardAt{};
    };

    std::optional<Holder> m_holder;
    // Intervals since the last report to all hosts and to the holder.
    std::uint32_t m_sinceAll{0};
    std::uint32_t m_sinceHolder{0};
};

} // namespace guavafield
