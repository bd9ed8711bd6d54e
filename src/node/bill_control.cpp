#include "node/bill_control.hpp"

namespace wagtailhitch {

bill_control::bill_control(core_state& state, bill_gate& gate) : state_{state}, gate_{gate} {}

void bill_control::on_copy(const process_id& from, const bill_copy_message& message, time_point now,
                           std::vector<output>& out)
{
    if (state_.bills.hold_copies(message.data, now)) {
        state_.send(from.vm, peer_message_kind::bill_ack, bill_ack_message{message.id}, out);
    }
}

void bill_control::on_ack(const process_id& from, const bill_ack_message& message,
                          std::vector<output>& out)
{
    std::vector<bill_output> steps;
    state_.bills.on_ack(from, message.id, steps);
    carry_out(steps, out);
}

void bill_control::on_done(const process_id& from, const bill_done_message& message,
                           std::vector<output>& out)
{
    state_.bills.drop_copies(from, message.sequences);
    state_.send(from.vm, peer_message_kind::bill_ack, bill_ack_message{message.id}, out);
}

void bill_control::tick(time_point now, std::vector<output>& out)
{
    auto steps = state_.bills.tick(now);
    carry_out(steps, out);
    state_.counters.level("bill_buffer_bytes").set(static_cast<double>(state_.bills.bytes()));
}

void bill_control::carry_out(std::vector<bill_output>& steps, std::vector<output>& out)
{
    for (auto& step : steps) {
        if (const auto* release = std::get_if<bill_release>(&step)) {
            if (!release->copied) {
                state_.counters.count("bill_uncopied_total").add();
            }
            gate_.release(release->request, out);
        }
        else if (auto* copy = std::get_if<bill_copy_batch>(&step)) {
            state_.send(copy->to.vm, peer_message_kind::bill_copy,
                        bill_copy_message{copy->id, std::move(copy->data)}, out);
        }
        else if (auto* record = std::get_if<bill_append>(&step)) {
            append(*record, out);
        }
        else if (auto* done = std::get_if<bill_done>(&step)) {
            state_.send(done->to.vm, peer_message_kind::bill_done,
                        bill_done_message{done->id, std::move(done->sequences)}, out);
        }
    }
}

void bill_control::append(bill_append& step, std::vector<output>& out)
{
    state_.append(
        bills_stream, {std::move(step.data)},
        [this, id = step.id](const auto& result, time_point at, std::vector<output>& outputs) {
            std::vector<bill_output> steps;
            state_.bills.on_append_result(id, result.has_value(), at, steps);
            carry_out(steps, outputs);
        },
        out);
}

} // namespace wagtailhitch
