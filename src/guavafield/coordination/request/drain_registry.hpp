// Upstreams that announced in their answers that they leave.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstddef>

namespace guavafield {

/*!
 * @brief Remembers announcements by incarnation.
 *
 * Entries outlive what else is known of an upstream: an upstream whose entry in the platform's table lapses and returns is still leaving.
 * Only a new incarnation takes work again.
 */
class DrainRegistry
{
public:
    /*! @brief Far longer than an upstream serves after its announcement. */
    static constexpr Milliseconds retention{600'000};

    void announce(const UpstreamId &upstream, Incarnation incarnation, SteadyTime now);
    /*! @brief Returns whether this incarnation of the upstream announced that it leaves. */
    [[nodiscard]] bool isLeaving(const UpstreamId &upstream, Incarnation incarnation) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_announcements.size();
    }

private:
    struct Announcement
    {
        Incarnation incarnation{0};
        SteadyTime at{};
    };

    // Bounded by retention.
    StringMap<Announcement> m_announcements;
};

} // namespace guavafield
