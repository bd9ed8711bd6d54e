#include "session/ticket.hpp"

#include "base/msgpack.hpp"
#include "session/detail/authenticated_text.hpp"

namespace wagtailhitch {

namespace {

constexpr std::string_view purpose = "ticket";
constexpr std::size_t max_text_size = 1024;
// Memory per stored answer for the map node and string headers.
constexpr std::size_t answer_overhead = 128;

std::size_t stored_bytes(const ticket_answer_record& answer)
{
    return answer.payload.size() + answer.content_type.size() + answer_overhead;
}

error refusal(error_code code, run_state run, std::string detail)
{
    return error{code, step::claim, {}, run, std::move(detail), {}};
}

error invalid_ticket()
{
    return refusal(error_code::ticket_invalid, run_state::not_run,
                   "The ticket was not issued by this service.");
}

ticket_decision refuse(error reason)
{
    return ticket_decision{ticket_verdict::refuse, {}, std::move(reason)};
}

} // namespace

std::string issue_ticket(std::string_view key, const ticket& content)
{
    const auto fields =
        nlohmann::json::array({content.owner.vm.value, content.owner.run, content.sequence,
                               content.team.value, content.issued_ms});
    return detail::encode_authenticated(key, purpose, encode_msgpack(fields));
}

expected<ticket> verify_ticket(std::string_view key, std::string_view text)
{
    if (text.size() > max_text_size) {
        return tl::unexpected(invalid_ticket());
    }
    const auto payload = detail::decode_authenticated(key, purpose, text);
    if (!payload) {
        return tl::unexpected(invalid_ticket());
    }
    const auto fields = decode_msgpack(*payload, step::claim, "ticket");
    if (!fields) {
        return tl::unexpected(invalid_ticket());
    }
    field_reader in{*fields};
    ticket content;
    content.owner.vm = vm_id{in.text()};
    content.owner.run = in.number();
    content.sequence = in.number();
    content.team = team_id{in.text()};
    content.issued_ms = in.integer();
    if (!in.complete()) {
        return tl::unexpected(invalid_ticket());
    }
    return content;
}

ticket_table::ticket_table(process_id self, ticket_settings settings)
    : self_{std::move(self)}, settings_{settings}
{
}

ticket ticket_table::issue(const team_id& team, std::int64_t wall_ms)
{
    if (slots_.size() >= settings_.window) {
        drop_answer(first_);
        slots_.pop_front();
        ++first_;
    }
    slots_.emplace_back();
    return ticket{self_, first_ + slots_.size() - 1, team, wall_ms};
}

ticket_decision ticket_table::begin(const ticket& presented, const team_id& team,
                                    std::uint64_t request_digest, bool owner_gone)
{
    if (presented.team != team) {
        return refuse(refusal(error_code::ticket_invalid, run_state::not_run,
                              "The ticket belongs to another team."));
    }
    if (presented.owner != self_) {
        // An earlier incarnation of this VM no longer exists: this process has replaced it.
        if (owner_gone || presented.owner.vm == self_.vm) {
            return refuse(refusal(error_code::ticket_owner_gone, run_state::outcome_unknown,
                                  "The process that issued the ticket is gone."));
        }
        return ticket_decision{ticket_verdict::forward, {}, {}};
    }
    auto* const slot = find(presented.sequence);
    if (slot == nullptr) {
        return refuse(refusal(error_code::ticket_invalid, run_state::outcome_unknown,
                              "The ticket is older than the window of usable tickets."));
    }
    if (slot->state == slot_state::unused) {
        slot->state = slot_state::running;
        slot->digest = request_digest;
        return ticket_decision{ticket_verdict::run, {}, {}};
    }
    if (slot->digest != request_digest) {
        return refuse(refusal(error_code::key_mismatch, run_state::not_run,
                              "The ticket was used for another request."));
    }
    if (slot->state == slot_state::finished) {
        return repeat(presented.sequence);
    }
    if (slot->state == slot_state::running) {
        return refuse(refusal(error_code::key_in_use, run_state::outcome_unknown,
                              "The ticket's request is still running."));
    }
    return refuse(refusal(error_code::key_in_use, run_state::outcome_unknown,
                          "The outcome of the ticket's request is unknown."));
}

void ticket_table::finish(std::uint64_t sequence, ticket_answer_record answer)
{
    auto* const slot = find(sequence);
    if (slot == nullptr || slot->state != slot_state::running) {
        return;
    }
    slot->state = slot_state::finished;
    if (answer.payload.size() > settings_.max_answer_bytes) {
        return;
    }
    answers_bytes_ += stored_bytes(answer);
    answers_.emplace(sequence, std::move(answer));
    while (answers_bytes_ > settings_.answers_bytes) {
        drop_answer(answers_.begin()->first);
    }
}

void ticket_table::fail(std::uint64_t sequence, run_state run)
{
    auto* const slot = find(sequence);
    if (slot == nullptr || slot->state != slot_state::running) {
        return;
    }
    slot->state = run == run_state::not_run ? slot_state::unused : slot_state::unknown;
}

ticket_table::ticket_slot* ticket_table::find(std::uint64_t sequence)
{
    if (sequence < first_ || sequence - first_ >= slots_.size()) {
        return nullptr;
    }
    return &slots_[sequence - first_];
}

ticket_decision ticket_table::repeat(std::uint64_t sequence) const
{
    const auto it = answers_.find(sequence);
    if (it == answers_.end()) {
        return refuse(refusal(error_code::key_in_use, run_state::ran,
                              "The ticket's request ran; its answer is no longer kept."));
    }
    return ticket_decision{ticket_verdict::repeat, it->second, {}};
}

void ticket_table::drop_answer(std::uint64_t sequence)
{
    const auto it = answers_.find(sequence);
    if (it != answers_.end()) {
        answers_bytes_ -= stored_bytes(it->second);
        answers_.erase(it);
    }
}

} // namespace wagtailhitch
