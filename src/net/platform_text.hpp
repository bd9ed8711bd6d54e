#pragma once

#include "net/http_client.hpp"
#include "net/upstream_probe.hpp"
#include "node/messages.hpp"

#include <optional>
#include <string>

// Encodes and parses the bodies that a node exchanges with the log, the VM list and the rating
// service. Performs no I/O.

namespace wagtailhitch::detail {

/// Nullopt when a record is not UTF-8 text, which JSON cannot represent.
std::optional<std::string> append_body(const std::vector<std::string>& records);

/// Failures: log_unavailable; not_run when the log cannot have seen the records or has refused
/// them, otherwise outcome_unknown.
append_result parse_append(append_id append, const whole_answer& answer);

/// The batch that answers a read from `from`. A record above `record_limit` is passed on empty, so
/// that every reader treats it alike. Errors: log_unavailable.
expected<log_batch> parse_batch(const std::string& stream, log_offset from,
                                std::size_t record_limit, const whole_answer& answer);

/// The offset to read next after a batch.
log_offset next_offset(const log_batch& batch);

/// Nullopt when the answer is not a VM list; invalid entries are skipped.
std::optional<vm_list> parse_vm_list(const whole_answer& answer);

struct rating_page {
    ratings items;
    std::uint64_t next{0};
};

std::optional<rating_page> parse_ratings(const whole_answer& answer);

} // namespace wagtailhitch::detail
