// Forward declarations of at-most-once calls.
#pragma once

namespace guavafield {

class OnceCallTracker;
struct OnceAnswer;
struct OnceIdentity;
struct OnceRecord;
struct OnceReply;

} // namespace guavafield
