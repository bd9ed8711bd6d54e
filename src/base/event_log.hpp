#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

// Structured log lines, one JSON object each, with a bounded volume.
//
//   event_log log{write_to_stdout, clock, {}};
//   log.write("request_finished", {{"id", id}, {"status", 200}, {"age_ms", 12}});
//   log.flush();   // from a timer; never blocks
//
// Lines beyond the rate or the buffer are dropped and counted; the count is logged with the next
// line that fits.

namespace wagtailhitch {

struct log_field {
    using value_type = std::variant<std::string_view, std::int64_t, double, bool>;

    log_field(std::string_view field_name, std::string_view text) : name{field_name}, value{text} {}
    log_field(std::string_view field_name, const std::string& text)
        : name{field_name}, value{std::string_view{text}}
    {
    }
    log_field(std::string_view field_name, const char* text)
        : name{field_name}, value{std::string_view{text}}
    {
    }
    log_field(std::string_view field_name, bool flag) : name{field_name}, value{flag} {}
    log_field(std::string_view field_name, double number) : name{field_name}, value{number} {}
    template<typename Integer>
    requires std::is_integral_v<Integer> log_field(std::string_view field_name, Integer number)
        : name{field_name}, value{static_cast<std::int64_t>(number)}
    {
    }

    std::string_view name;
    value_type value;
};

struct event_log_settings {
    double lines_per_second{200}; ///< four times the peak rate of a VM of the current size
    double burst_lines{400};
    std::size_t buffer_bytes{std::size_t{256} * 1024};
    std::size_t flush_bytes{std::size_t{16} * 1024}; ///< a fuller buffer is written at once
};

class event_log {
public:
    /// Accepts part or all of the bytes without blocking and returns how many were accepted.
    using sink = std::function<std::size_t(std::string_view)>;

    event_log(sink output, clock_source clock, event_log_settings settings);

    void write(std::string_view event, std::initializer_list<log_field> fields);
    /// Passes the buffer to the sink and keeps what it does not accept.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return dropped_total_; }

private:
    [[nodiscard]] bool admit(time_point now);
    void append(std::string_view event, std::initializer_list<log_field> fields);

    sink output_;
    clock_source clock_;
    event_log_settings settings_;
    std::string buffer_;
    double tokens_;
    time_point refilled_at_;
    std::uint64_t dropped_{0}; ///< since the last line that reported them
    std::uint64_t dropped_total_{0};
};

/// Writes to a descriptor that is in non-blocking mode.
event_log::sink descriptor_sink(int descriptor);

} // namespace wagtailhitch
