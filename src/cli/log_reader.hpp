#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/fold.hpp"

#include <functional>
#include <string>
#include <vector>

// Reads and appends to the log's stream `config` for commands.
//
//   cli::log_reader log{settings.platform.log};
//   auto caught_up = log.catch_up(fold, [](const config_output&) {});

namespace wagtailhitch::cli {

using event_handler = std::function<void(const config_output&)>;

class log_reader {
public:
    explicit log_reader(std::string address) : address_{std::move(address)} {}

    /// Applies all records up to the head to `fold`. Errors: log_unavailable, log_gap (records are
    /// lost and the log has no snapshot).
    expected<void> catch_up(config_fold& fold, const event_handler& on_event) const;

    /// Applies one page of records to `fold`; returns whether the head was reached. `wait` is how
    /// long the log may wait for new records. Errors: log_unavailable, also when the page has no
    /// record although the log has further ones.
    expected<bool> read_page(config_fold& fold, duration wait, const event_handler& on_event) const;

    /// Errors: run is `not_run` when nothing can have been appended, otherwise `outcome_unknown`.
    expected<void> append(const std::vector<std::string>& records) const;

private:
    std::string address_;
};

} // namespace wagtailhitch::cli
