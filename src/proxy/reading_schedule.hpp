#pragma once

#include "base/clock.hpp"

#include <cstddef>

// When a VM reads a stream of the store itself. The first live member of a failure domain reads
// often; its reads confirm the stream to the others, who read only when those confirmations stay
// away. No VM has to be appointed, and a reader that is cut off is replaced by the next one.
//
//   reading_schedule schedule{settings};
//   duration wait = schedule.until_read(rank, age_of_last_confirmation);
//   duration pause = schedule.until_retry(rank, failures);

namespace wagtailhitch {

struct reading_settings {
    /// Between two reads of the first member; with the members' reports this bounds how late a
    /// change is known. Each read has its price.
    duration first{1000ms};
    /// Age of the last confirmation at which the second member reads: two lost reports above the
    /// age that the first member's reads leave.
    duration second{1800ms};
    duration step{250ms};     ///< added for each further member, so that they do not read together
    duration longest{2400ms}; ///< of all members, below the bounds on a change's delay
    duration first_retry{100ms}; ///< after a read that failed; doubles with each further one
    /// Also the longest time for which the first member does not notice the store's return.
    duration longest_retry{800ms};
    /// The same for members with others before them: those others notice first and confirm.
    duration longest_later_retry{6s};
};

/// The settings for a deployment whose changes must apply within `apply_within`; the defaults are
/// those for three seconds.
reading_settings reading_within(duration apply_within);

class reading_schedule {
public:
    explicit reading_schedule(reading_settings settings) : settings_{settings} {}

    /// Age of the last confirmation at which the member with `rank` live members before it reads.
    [[nodiscard]] duration due_age(std::size_t rank) const;
    /// Zero when the read is due.
    [[nodiscard]] duration until_read(std::size_t rank, duration age) const;
    /// Pause after `failures` reads in a row that failed, at least 1. A store that answers nobody
    /// is asked by few; one that turns some VMs away is asked by the next in turn.
    [[nodiscard]] duration until_retry(std::size_t rank, unsigned failures) const;

private:
    reading_settings settings_;
};

} // namespace wagtailhitch
