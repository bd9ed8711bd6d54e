#pragma once

#include "base/clock.hpp"

#include <cstddef>

// Decides when a VM reads a stream of the store itself. The first live member of a failure domain
// reads often, and its reads confirm the stream to the other members. These read only when the
// confirmations stop arriving. No leader election is needed: when a reader loses its connection,
// the next member replaces it.
//
//   reading_schedule schedule{settings};
//   duration wait = schedule.until_read(rank, age_of_last_confirmation);
//   duration pause = schedule.until_retry(rank, failures);

namespace wagtailhitch {

struct reading_settings {
    /// Interval between two reads of the first member. Together with the delay of the members'
    /// reports it bounds the delay of a change. It is not shorter because each read has a cost.
    duration first_due_age{1000ms};
    /// Age of the last confirmation at which the second member reads. It allows for two lost
    /// reports on top of the age that the first member's reads leave.
    duration second_due_age{1800ms};
    duration step{250ms};         ///< added for each further member, so that reads do not coincide
    duration max_due_age{2400ms}; ///< limit for all members, below the bounds on a change's delay
    duration initial_retry_delay{100ms}; ///< after one failed read; doubles with each further one
    /// Limit of the retry delay. It also bounds the time until the first member notices that the
    /// store is back.
    duration max_retry_delay{800ms};
    /// The limit for members that have live members before them. It may be longer, because earlier
    /// members notice first that the store is back and send confirmations.
    duration max_later_member_retry_delay{6s};
};

/// Returns the settings for a deployment whose changes must apply within `apply_within`. The
/// default settings are those for three seconds.
reading_settings reading_settings_for(duration apply_within);

class reading_schedule {
public:
    explicit reading_schedule(reading_settings settings) : settings_{settings} {}

    /// Age of the last confirmation at which a member reads. `rank`: number of live members before
    /// it.
    [[nodiscard]] duration due_age(std::size_t rank) const;
    /// Time until the next read, given the age of the last confirmation. Zero when the read is due.
    [[nodiscard]] duration until_read(std::size_t rank, duration age) const;
    /// Delay before the next attempt after `failures` consecutive failed reads, at least 1. It
    /// grows with `rank`, so that few VMs call a store that is down. If the store refuses only some
    /// VMs, the next member in order reads instead.
    [[nodiscard]] duration until_retry(std::size_t rank, unsigned failures) const;

private:
    reading_settings settings_;
};

} // namespace wagtailhitch
