// Times that several parts of the directory service share.
#pragma once

#include <guavafield/state/types.hpp>

namespace guavafield::internal {

// A host whose knowledge is older reads for itself.
constexpr Milliseconds staleAfter{1'000};
// What an answer says was true a little before it arrived.
constexpr Milliseconds answerDelay{20};

} // namespace guavafield::internal
