#pragma once

#include "base/clock.hpp"

#include <cstddef>

// When a VM reads a stream of the store itself. The first live member of a failure domain reads
// often; its reads confirm the stream to the others, who read only when those confirmations stay
// away. No VM has to be appointed, and a reader that is cut off is replaced by the next one.
//
//   reading_schedule schedule{settings};
//   duration wait = schedule.until_read(rank, age_of_last_confirmation);

namespace wagtailhitch {

struct reading_settings {
    /// Between two reads of the first member; with the members' reports this bounds how late a
    /// change is known.
    duration first{700ms};
    /// Age of the last confirmation at which the second member reads: two lost reports above the
    /// age that the first member's reads leave.
    duration second{1500ms};
    duration step{250ms};     ///< added for each further member, so that they do not read together
    duration longest{2400ms}; ///< of all members, below the bounds on a change's delay
};

class reading_schedule {
public:
    explicit reading_schedule(reading_settings settings) : settings_{settings} {}

    /// Age of the last confirmation at which the member with `rank` live members before it reads.
    [[nodiscard]] duration due_age(std::size_t rank) const;
    /// Zero when the read is due.
    [[nodiscard]] duration until_read(std::size_t rank, duration age) const;

private:
    reading_settings settings_;
};

} // namespace wagtailhitch
