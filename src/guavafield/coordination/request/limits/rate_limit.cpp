// Text of rate limits.
#include <guavafield/coordination/request/limits/rate_limit.hpp>

#include <sstream>

namespace guavafield {

std::string formatRate(double perSecond)
{
    if (perSecond == unlimitedRate) {
        return "-";
    }
    std::ostringstream text;
    text << perSecond;
    return text.str();
}

} // namespace guavafield
