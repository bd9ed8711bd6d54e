#include "net/sse_parser.hpp"

namespace wagtailhitch::detail {

namespace {

constexpr std::string_view data_field = "data:";

} // namespace

bool sse_parser::feed(std::string_view bytes, const std::function<void(std::string_view)>& on_event)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::string_view part = bytes.substr(0, end);
        if (line_.size() + data_.size() + part.size() > event_limit_) {
            return false;
        }
        if (end == std::string_view::npos) {
            line_.append(part);
            return true;
        }
        bytes.remove_prefix(end + 1);
        if (line_.empty()) {
            process_line(part, on_event);
            continue;
        }
        line_.append(part);
        const std::string whole = std::move(line_);
        line_.clear();
        process_line(whole, on_event);
    }
    return true;
}

void sse_parser::process_line(std::string_view line,
                              const std::function<void(std::string_view)>& on_event)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (has_data_) {
            has_data_ = false;
            const std::string data = std::move(data_);
            data_.clear();
            on_event(data);
        }
        return;
    }
    if (line.substr(0, data_field.size()) != data_field) {
        return;
    }
    line.remove_prefix(data_field.size());
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    if (has_data_) {
        data_.push_back('\n');
    }
    has_data_ = true;
    data_.append(line);
}

} // namespace wagtailhitch::detail
