// Forward declarations of leases.
#pragma once

namespace guavafield {

class LeaseClient;
struct LeaseHolder;
struct LeaseRecord;
struct ListedHost;

} // namespace guavafield
