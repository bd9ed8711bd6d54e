#include "base/event_log.hpp"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

void append_value(std::string& out, const log_field::value_type& value)
{
    const nlohmann::json json =
        std::visit([](const auto& item) { return nlohmann::json(item); }, value);
    out += json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::int64_t wall_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

event_log::event_log(sink output, clock_source clock, event_log_settings settings)
    : output_{std::move(output)}, clock_{std::move(clock)}, settings_{settings},
      tokens_{settings.burst_lines}, refilled_at_{clock_()}
{
}

void event_log::write(std::string_view event, std::initializer_list<log_field> fields)
{
    if (!admit(clock_())) {
        ++dropped_;
        ++dropped_total_;
        return;
    }
    if (dropped_ > 0) {
        append("log_lines_dropped", {{"count", std::exchange(dropped_, 0)}});
    }
    append(event, fields);
    if (buffer_.size() >= settings_.flush_bytes) {
        flush();
    }
}

void event_log::flush()
{
    if (buffer_.empty()) {
        return;
    }
    const std::size_t n = output_(buffer_);
    buffer_.erase(0, n);
}

bool event_log::admit(time_point now)
{
    const std::chrono::duration<double> since_refill = now - refilled_at_;
    refilled_at_ = now;
    tokens_ = std::min(settings_.burst_lines,
                       tokens_ + std::max(0.0, since_refill.count()) * settings_.lines_per_second);
    if (tokens_ < 1 || buffer_.size() >= settings_.buffer_bytes) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void event_log::append(std::string_view event, std::initializer_list<log_field> fields)
{
    buffer_ += R"({"time_ms":)";
    buffer_ += std::to_string(wall_milliseconds());
    buffer_ += R"(,"event":")";
    buffer_ += event;
    buffer_ += '"';
    for (const auto& field : fields) {
        buffer_ += ",\"";
        buffer_ += field.name;
        buffer_ += "\":";
        append_value(buffer_, field.value);
    }
    buffer_ += "}\n";
}

event_log::sink descriptor_sink(int descriptor)
{
    return [descriptor](std::string_view bytes) {
        const ssize_t n = ::write(descriptor, bytes.data(), bytes.size());
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    };
}

} // namespace wagtailhitch
