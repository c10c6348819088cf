#include "systems/queries/level_report.hpp"

namespace cranberrywood {

level_counts& level_counts::operator+=(const level_counts& other)
{
    requests += other.requests;
    late += other.late;
    short_of_whole += other.short_of_whole;
    refused += other.refused;
    over_rate += other.over_rate;
    return *this;
}

} // namespace cranberrywood
