#include "node/core_state.hpp"

#include "base/digest.hpp"

namespace wagtailhitch {

namespace {

// 64 Ki entries of 16 bytes: 1 MiB, enough for 240 engines with 256 prefix blocks each.
constexpr std::size_t prefix_entries = 65'536;

follow_settings make_follow_settings(const core_settings& core)
{
    follow_settings out;
    out.self = core.self.vm;
    out.seed = core.seed;
    return out;
}

config_fold_settings make_fold_settings(const core_settings& core)
{
    config_fold_settings out;
    out.operator_keys = core.operator_keys;
    out.cluster_key = core.cluster_key;
    return out;
}

claim_table_settings make_claim_settings(const core_settings& core)
{
    claim_table_settings out;
    out.retention_ms = to_milliseconds(core.log_retention);
    return out;
}

bill_buffer_settings make_bill_settings(const core_settings& core)
{
    bill_buffer_settings out;
    out.maximum_bytes = core.bill_buffer_bytes;
    return out;
}

pool_settings make_pool_settings(const core_settings& core)
{
    pool_settings out;
    out.failure_domain = core.failure_domain;
    out.region = core.region;
    return out;
}

limiter_settings make_limiter_settings(const core_settings& core)
{
    limiter_settings out;
    out.vm = core.self.vm;
    return out;
}

} // namespace

core_state::core_state(core_settings core, metrics& registry, time_point now)
    : settings{std::move(core)}, counters{registry}, generator{settings.seed},
      vms{settings.self, settings.peer_address, settings.failure_domain, {}},
      upstreams{settings.self.vm, settings.failure_domain, {}},
      configuration{make_follow_settings(settings), config_fold{make_fold_settings(settings)}, now},
      doc{configuration.fold().current()}, lease_records{std::string{leases_stream}, {}},
      claim_records{std::string{claims_stream}, {}},
      rollout_records{std::string{rollout_stream}, {}}, claims{make_claim_settings(settings)},
      claim_items{{}}, bills{settings.self, make_bill_settings(settings)}, tickets{settings.self,
                                                                                   {}},
      sessions{{},
               [this](const model_id& model, const version_id& version) {
                   return rollouts.exposed_basis_points(version,
                                                        doc->models.at(model).versions.at(version));
               }},
      limiter{make_limiter_settings(settings)}, pool{make_pool_settings(settings)},
      chooser{settings.chooser}, prefixes{prefix_entries}, link{{settings.link_bytes_per_second,
                                                                 2.0},
                                                                now},
      retries{{}}, retry_credit{{}, now}, cascade{{}}, sufficiency{settings.self, {}}
{
}

configuration_age core_state::age(time_point now) const
{
    const auto confirmed = configuration.confirmed_at();
    return {configuration.fold().current_revision(),
            confirmed ? duration{now - *confirmed} : duration::max()};
}

bool core_state::ready() const
{
    return configuration.readiness().ready && !stopping;
}

request_id core_state::new_request_id()
{
    return {self().vm, self().run, next_request++};
}

void core_state::append(std::string_view stream, std::vector<std::string> records,
                        append_callback done, std::vector<output>& out)
{
    // The log stores JSON text, so the binary records of the other streams are base 64 encoded.
    if (stream != config_stream) {
        for (auto& record : records) {
            record = base64url_encode(record);
        }
    }
    const auto id = next_append_++;
    appends_.emplace(id, std::move(done));
    counters.count("log_appends_total", {{"stream", std::string{stream}}}).add();
    out.emplace_back(log_append{id, std::string{stream}, std::move(records)});
}

void core_state::on_append_result(const append_result& result, time_point now,
                                  std::vector<output>& out)
{
    const auto it = appends_.find(result.append);
    if (it == appends_.end()) {
        return;
    }
    const auto done = std::move(it->second);
    appends_.erase(it);
    if (!result.first_offset) {
        counters
            .count("log_append_failures_total",
                   {{"code", std::string{name_of(result.first_offset.error().code)}}})
            .add();
    }
    done(result.first_offset, now, out);
}

void core_state::post(const vm_id& to, peer_message_kind kind, json_ptr body,
                      std::vector<output>& out)
{
    const auto* record = vms.find(to);
    if (record == nullptr || record->address.empty()) {
        counters.count("peer_frames_unaddressed_total").add();
        return;
    }
    out.emplace_back(peer_send{to, record->address, std::string{name_of(kind)}, std::move(body)});
}

} // namespace wagtailhitch
