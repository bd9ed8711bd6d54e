#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

// Tickets ensure that a non-idempotent request runs at most once: it runs only in the process that
// issued its ticket.
//
//   ticket_table table{self, settings};
//   std::string text = issue_ticket(key, table.issue(team, wall_ms));
//   auto ticket = verify_ticket(key, text);
//   switch (table.begin(*ticket, team, digest, owner_gone).kind) { ... }
//   table.finish(ticket->sequence, answer);

namespace wagtailhitch {

struct ticket {
    process_id owner;
    std::uint64_t sequence{0}; ///< starts at 1 for each owner
    team_id team;
    std::int64_t issued_ms{0}; ///< Unix milliseconds

    friend bool operator==(const ticket&, const ticket&) = default;
};

std::string issue_ticket(std::string_view key, const ticket& content);

/// Errors: ticket_invalid (not_run) when the text is malformed or not authenticated by `key`.
expected<ticket> verify_ticket(std::string_view key, std::string_view text);

struct ticket_settings {
    std::size_t window{65'536};         ///< number of newest tickets that can be used
    std::size_t max_answer_bytes{4096}; ///< larger answers are not stored
    std::size_t answers_bytes{std::size_t{8} * 1024 * 1024}; ///< of all stored answers
};

/// The answer to a finished request, stored for repeated requests.
struct ticket_answer_record {
    unsigned status{0};
    std::string content_type;
    std::string payload;

    friend bool operator==(const ticket_answer_record&, const ticket_answer_record&) = default;
};

/// run: run the request here, once. forward: send it to the owner. repeat: return the stored
/// `answer`. refuse: return the error `reason`.
enum class ticket_verdict { run, forward, repeat, refuse };

struct ticket_decision {
    ticket_verdict kind{ticket_verdict::refuse};
    ticket_answer_record answer;
    error reason;
};

/// Tickets issued by this process. Stores the state of every ticket in the window. An older ticket
/// is never run, because it is unknown whether it already ran.
class ticket_table {
public:
    ticket_table(process_id self, ticket_settings settings);

    ticket issue(const team_id& team, std::int64_t wall_ms);

    /// Decides how to handle a request with a verified ticket; a ticket with the verdict `run` is
    /// marked as running. `owner_gone`: the owner's incarnation is known to have left or
    /// been removed.
    /// Refusals: ticket_invalid (other team, not_run), key_mismatch (the ticket was used for a
    /// request with another digest; not_run), key_in_use (running; outcome_unknown),
    /// ticket_owner_gone (outcome_unknown), ticket_invalid with outcome_unknown (older than the
    /// window).
    ticket_decision begin(const ticket& presented, const team_id& team,
                          std::uint64_t request_digest, bool owner_gone);

    /// Stores the answer for repeated requests.
    void finish(std::uint64_t sequence, ticket_answer_record answer);
    /// Records that the run ended without an answer. After not_run the ticket may be used again.
    void fail(std::uint64_t sequence, run_state run);

    [[nodiscard]] std::size_t answers_bytes() const { return answers_bytes_; }
    [[nodiscard]] std::size_t size() const { return slots_.size(); }

private:
    enum class slot_state : std::uint8_t { unused, running, finished, unknown };
    struct ticket_slot {
        std::uint64_t digest{0};
        slot_state state{slot_state::unused};
    };

    [[nodiscard]] ticket_slot* find(std::uint64_t sequence);
    [[nodiscard]] ticket_decision repeat(std::uint64_t sequence) const;
    void drop_answer(std::uint64_t sequence);

    process_id self_;
    ticket_settings settings_;
    std::uint64_t first_{1}; // sequence of slots_.front()
    std::deque<ticket_slot> slots_;
    std::map<std::uint64_t, ticket_answer_record> answers_; // by sequence
    std::size_t answers_bytes_{0};
};

} // namespace wagtailhitch
