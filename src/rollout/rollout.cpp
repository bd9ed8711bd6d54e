#include "rollout/rollout.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailhitch {

namespace {

error invalid(std::string detail)
{
    return error{error_code::config_invalid, step::platform,    {},
                 run_state::not_run,         std::move(detail), {}};
}

} // namespace

std::string encode_rollout_record(const rollout_record& record)
{
    return nlohmann::json{{"kind", name_of(record.kind)}, {"version", record.version.value},
                          {"step", record.step},          {"fencing", record.fencing},
                          {"reason", record.reason},      {"by", record.by.value}}
        .dump();
}

expected<rollout_record> decode_rollout_record(std::string_view data)
{
    try {
        const auto j = nlohmann::json::parse(data);
        const auto kind = parse_name<rollout_record_kind>(j.at("kind").get<std::string>());
        if (!kind) {
            return tl::unexpected(invalid("The roll-out record has an unknown kind."));
        }
        return rollout_record{
            *kind,           version_id{j.at("version")},       j.at("step"),
            j.at("fencing"), j.at("reason").get<std::string>(), vm_id{j.at("by")}};
    }
    catch (const std::exception& e) {
        return tl::unexpected(
            invalid(std::string{"The roll-out record is malformed: "} + e.what()));
    }
}

rollout_effect rollout_fold::apply(log_offset offset, std::string_view data)
{
    next_ = offset + 1;
    const auto record = decode_rollout_record(data);
    if (!record) {
        return rollout_effect::ignored;
    }
    auto& progress = progress_[record->version];
    if (record->kind == rollout_record_kind::halt) {
        if (progress.halted) {
            return rollout_effect::ignored;
        }
        progress.halted = true;
        progress.halt_reason = record->reason;
        progress.halted_by = record->by;
        progress.changed_at = offset;
        return rollout_effect::halted;
    }
    // A former lease holder that was paused still writes with its old, lower fencing number.
    if (record->fencing < highest_fencing_) {
        return rollout_effect::ignored_stale_holder;
    }
    highest_fencing_ = record->fencing;
    if (progress.halted || record->step <= progress.step) {
        return rollout_effect::ignored_old_step;
    }
    progress.step = record->step;
    progress.changed_at = offset;
    return rollout_effect::stepped;
}

const rollout_progress* rollout_fold::find(const version_id& version) const
{
    const auto it = progress_.find(version);
    return it == progress_.end() ? nullptr : &it->second;
}

std::uint32_t rollout_fold::exposed_basis_points(const version_id& version,
                                                 const version_spec& spec) const
{
    if (spec.state == version_state::withdrawn) {
        return 0;
    }
    if (spec.state == version_state::settled) {
        return full_share;
    }
    const auto* progress = find(version);
    if (progress == nullptr || progress->halted || progress->step == 0 || spec.rollout.empty()) {
        return 0;
    }
    const auto stage = std::min<std::size_t>(progress->step, spec.rollout.size());
    return std::min(spec.rollout[stage - 1].exposed_basis_points, full_share);
}

} // namespace wagtailhitch
