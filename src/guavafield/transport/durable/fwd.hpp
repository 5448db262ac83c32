// Forward declarations of the services that keep leases, usage, orders and at-most-once records.
#pragma once

namespace guavafield {

class LeaseDriver;
class OnceService;
class OrderService;
class UsageService;

} // namespace guavafield
