// Hash of attempt ids.
#include <guavafield/coordination/streams/stream_origin.hpp>

#include <xxhash.h>

namespace guavafield {

StreamHash streamHash(std::string_view requestId) noexcept
{
    return XXH3_64bits(requestId.data(), requestId.size());
}

} // namespace guavafield
