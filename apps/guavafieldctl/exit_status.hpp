// Exit statuses of guavafieldctl.
#pragma once

namespace guavafield::ctl {

/*! @brief Exit statuses that scripts rely on, documented in docs/operations/contracts-and-keys.md. */
enum ExitStatus : int {
    Done = 0,
    Failed = 1,
    UsageError = 2,
    InvalidDocument = 3,
    Conflict = 4,
    Unreachable = 5,
    NotAuthorised = 6,
    NotFound = 7,
    OutcomeUnknown = 8,
};

} // namespace guavafield::ctl
