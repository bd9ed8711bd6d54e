#include "routing/simulation.hpp"

#include "limits/admission_queue.hpp"
#include "retry/retry_policy.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

namespace wagtailhitch::bench {

namespace {

constexpr duration report_interval = 1s;
constexpr duration domain_report_lag = 300ms;
constexpr duration other_report_lag = 2s; // digests exchanged between failure domains
constexpr duration cache_event_lag = 1s;
constexpr double cache_gap_share = 0.03;
constexpr duration remote_latency = 30ms;
constexpr duration warm_up = 10s;
constexpr double bytes_per_token = 4;
constexpr double link_bytes_per_second = 30e6 / 8;
constexpr double link_cost_per_mb = 0.02;

// Requests that all VMs together dispatch to the engines, as a multiple of the engine slots.
constexpr double concurrency_factor = 1.25;

struct live_request {
    std::uint64_t token{0};
    const request_type* type{nullptr};
    const std::vector<std::uint64_t>* prefix{nullptr};
    double answer_tokens{0};
    time_point arrived;
    std::uint32_t retries{0};
    std::vector<replica_index> tried;
    queue_entry queued;
    bool counted{false}; ///< arrived after the warm-up
};
using request_ptr = std::shared_ptr<live_request>;

struct simulation_state {
    simulation_state(const deployment& simulated_deployment, const scenario& what)
        : generator{what.seed}, place{simulated_deployment}, plan{what}
    {
    }

    scheduler events;
    std::mt19937_64 generator;
    const deployment& place;
    const scenario& plan;
    std::vector<std::unique_ptr<engine_model>> engines;
    std::vector<version_id> versions;
    run_result result;
};

double draw_exponential(std::mt19937_64& generator, double mean)
{
    return std::exponential_distribution<double>{1 / mean}(generator);
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

class vm_model {
public:
    vm_model(simulation_state& all, const std::string& domain)
        : state_{all}, region_{region_of(all.place, domain)}, generator_{all.generator()},
          pool_{{.failure_domain = failure_domain_id{domain}, .region = region_id{region_}}},
          chooser_{all.plan.chooser}, prefixes_{1U << 14U},
          link_{{.bytes_per_second =
                     link_bytes_per_second / static_cast<double>(all.place.vm_domains.size())},
                all.events.now()},
          budget_{retry_.settings(), all.events.now()}
    {
        const time_point now = all.events.now();
        std::map<upstream_id, upstream_spec> upstreams;
        for (std::size_t i = 0; i < all.engines.size(); ++i) {
            upstreams[id_of(i)] = spec_of(all.engines[i]->spec());
        }
        pool_.configure(upstreams, now);
        for (const auto& [id, spec] : upstreams) {
            pool_.set_health(id, replica_health::usable, 1, now);
        }
        build_queues();
    }

    void arrive(const request_ptr& request)
    {
        const time_point now = state_.events.now();
        budget_.count_request(now);
        state_.result.offered += request->counted ? 1 : 0;
        admission_queue& queue = queues_[request->type->model];
        const model_cost& model = state_.place.models[request->type->model];
        request->queued = {
            request->token, team_id{"t"}, request->type->kind,
            request->arrived + request->type->deadline,
            from_seconds(0.15 + request->type->answer_tokens / model.tokens_per_second)};
        if (!state_.plan.admission) {
            dispatch(request);
            return;
        }
        const auto admitted = queue.offer(request->queued, now);
        if (!admitted) {
            refuse(request, std::string{name_of(admitted.error().code)});
            return;
        }
        waiting_[request->token] = request;
        dispatch_waiting(request->type->model);
    }
    void report(std::size_t engine, load_report load)
    {
        pool_.report_load(id_of(engine), load, state_.events.now());
    }
    void cache_events(std::size_t engine, bool gap, const std::vector<std::uint64_t>& stored,
                      const std::vector<std::uint64_t>& evicted)
    {
        const replica_index replica = *pool_.find(id_of(engine));
        if (gap) {
            prefixes_.gap(replica);
            return;
        }
        prefixes_.evicted(replica, evicted);
        prefixes_.stored(replica, stored);
    }
    void expire_and_dispatch()
    {
        for (std::size_t i = 0; i < queues_.size(); ++i) {
            for (const auto& entry : queues_[i].expire(state_.events.now())) {
                refuse(waiting_.at(entry.token), "deadline_passed");
                waiting_.erase(entry.token);
            }
            dispatch_waiting(i);
        }
    }
    void send_statistics_to(std::vector<std::unique_ptr<vm_model>>& vms)
    {
        for (const auto& share : pool_.take_statistics()) {
            for (const auto& vm : vms) {
                if (vm.get() != this && vm->region_ == region_) {
                    vm->pool_.merge_statistics(share, state_.events.now());
                }
            }
        }
    }
    duration report_lag(std::size_t engine) const
    {
        const replica_index replica = *pool_.find(id_of(engine));
        return pool_.view(replica).distance == locality::domain ? domain_report_lag
                                                                : other_report_lag;
    }

private:
    static upstream_id id_of(std::size_t engine)
    {
        return upstream_id{"engine-" + std::to_string(engine)};
    }
    upstream_spec spec_of(const engine_spec& engine) const
    {
        upstream_spec spec;
        spec.address = engine.name;
        spec.failure_domain = failure_domain_id{engine.domain};
        spec.region = region_id{engine.region};
        spec.slots = engine.slots;
        spec.speed = engine.speed;
        for (const std::size_t model : engine.models) {
            spec.versions.push_back(state_.versions[model]);
        }
        return spec;
    }
    // An engine's slots are divided evenly among its models, and among the VMs of the region.
    void build_queues()
    {
        const auto vms = std::ranges::count_if(state_.place.vm_domains, [&](const auto& domain) {
            return region_of(state_.place, domain) == region_;
        });
        for (std::size_t model = 0; model < state_.place.models.size(); ++model) {
            double slots = 0;
            for (const auto& engine : state_.place.engines) {
                const bool holds = std::ranges::find(engine.models, model) != engine.models.end();
                const auto parts = static_cast<double>(engine.models.size());
                slots += holds && engine.region == region_ ? engine.slots / parts : 0;
            }
            const double queue_concurrency =
                std::ceil(slots * concurrency_factor / static_cast<double>(vms));
            queues_.emplace_back(queue_settings{
                .capacity = 200,
                .concurrency = std::max(1U, static_cast<std::uint32_t>(queue_concurrency)),
                .team_capacity_share = 1});
        }
    }
    void dispatch_waiting(std::size_t model)
    {
        while (const auto entry = queues_[model].next(state_.events.now())) {
            const request_ptr request = waiting_.at(entry->token);
            request->queued = *entry;
            waiting_.erase(entry->token);
            dispatch(request);
        }
    }
    void refuse(const request_ptr& request, const std::string& reason)
    {
        if (request->counted) {
            state_.result.refused[reason] += 1;
        }
    }
    void release(const request_ptr& request, duration service)
    {
        if (state_.plan.admission) {
            queues_[request->type->model].finished(request->queued, service);
            dispatch_waiting(request->type->model);
        }
    }
    void dispatch(const request_ptr& request)
    {
        const time_point now = state_.events.now();
        const request_type& type = *request->type;
        choice_request wanted;
        wanted.version = &state_.versions[type.model];
        wanted.excluded = request->tried;
        wanted.prompt_tokens = static_cast<std::uint32_t>(type.prompt_tokens);
        wanted.request_bytes = type.prompt_tokens * bytes_per_token;
        wanted.answer_bytes = type.answer_tokens * bytes_per_token;
        wanted.cost_per_1k_input = state_.place.models[type.model].per_1k_input;
        if (state_.plan.route_target) {
            wanted.first_token_target = type.first_token_target;
        }
        if (state_.plan.affinity) {
            wanted.prefix_hashes = *request->prefix;
        }
        const auto chosen = chooser_.choose(pool_, prefixes_, link_, wanted, now, generator_);
        if (!chosen) {
            refuse(request, std::string{name_of(chosen.error().code)});
            state_.events.after(1ms, [this, request] { release(request, 1ms); });
            return;
        }
        link_.spend(chosen->link_bytes, now);
        if (request->counted) {
            state_.result.link_bytes += chosen->link_bytes;
            state_.result.cost += chosen->link_bytes / 1e6 * link_cost_per_mb;
        }
        send(request, *chosen, pool_.begin(chosen->replica, now));
    }
    void send(const request_ptr& request, const choice& chosen, dispatch_ticket ticket)
    {
        const duration network_delay = chosen.distance == locality::remote ? remote_latency
                                       : chosen.distance == locality::region
                                           ? state_.place.region_latency
                                           : 500us;
        const time_point sent = state_.events.now();
        const auto first = std::make_shared<duration>();
        engine_job job;
        job.prefix = request->prefix;
        job.prompt_tokens = request->type->prompt_tokens;
        job.answer_tokens = request->answer_tokens;
        job.tokens_per_second = state_.place.models[request->type->model].tokens_per_second;
        job.on_first_token = [this, request, first, sent, network_delay](double cached) {
            *first = state_.events.now() + network_delay - sent;
            charge(*request, cached);
        };
        job.on_end = [this, request, first, sent, network_delay, chosen, ticket] {
            state_.events.after(network_delay, [this, request, first, sent, chosen, ticket] {
                const duration total = state_.events.now() - sent;
                (void)pool_.finish(ticket,
                                   {attempt_result::succeeded, *first, total, chosen.predicted},
                                   state_.events.now());
                answered(*request, sent + *first);
                release(request, total);
            });
        };
        job.on_failure = [this, request, sent, network_delay, chosen, ticket] {
            state_.events.after(network_delay, [this, request, sent, chosen, ticket] {
                const duration total = state_.events.now() - sent;
                (void)pool_.finish(ticket, {attempt_result::failed, total, total, chosen.predicted},
                                   state_.events.now());
                fail(request, chosen.replica);
            });
        };
        engine_model* engine = state_.engines[engine_of(chosen.replica)].get();
        state_.events.after(network_delay, [engine, job = std::move(job)] { engine->submit(job); });
    }
    std::size_t engine_of(replica_index replica) const
    {
        return std::stoul(pool_.view(replica).id.value.substr(7));
    }
    void charge(const live_request& request, double cached)
    {
        const model_cost& model = state_.place.models[request.type->model];
        const double input = request.type->prompt_tokens - cached;
        state_.result.cost += request.counted
                                  ? input / 1000 * model.per_1k_input +
                                        request.answer_tokens / 1000 * model.per_1k_output
                                  : 0;
        state_.result.cached_tokens += request.counted ? cached : 0;
    }
    void answered(const live_request& request, time_point first)
    {
        if (!request.counted) {
            return;
        }
        const duration total = state_.events.now() - request.arrived;
        state_.result.answered += 1;
        const bool in_time = total <= request.type->deadline;
        state_.result.in_time += in_time ? 1 : 0;
        state_.result.tokens_in_time += in_time ? request.answer_tokens : 0;
        state_.result.first_token.push_back(seconds(first - request.arrived));
        state_.result.total.push_back(seconds(total));
    }
    void fail(const request_ptr& request, replica_index replica)
    {
        const time_point now = state_.events.now();
        failed_attempt failure;
        failure.code = error_code::upstream_failed;
        failure.idempotent = true;
        failure.retries = request->retries;
        failure.deadline = request->arrived + request->type->deadline;
        const auto decision = retry_.decide(failure, budget_, now, generator_);
        if (decision.action == retry_action::stop) {
            state_.result.failed += request->counted ? 1 : 0;
            release(request, now - request->queued.offered_at);
            return;
        }
        budget_.spend(now);
        ++request->retries;
        request->tried.push_back(replica);
        state_.events.after(decision.wait, [this, request] { dispatch(request); });
    }

    simulation_state& state_;
    std::string region_;
    std::mt19937_64 generator_;
    replica_pool pool_;
    replica_chooser chooser_;
    prefix_index prefixes_;
    link_budget link_;
    retry_policy retry_{{}};
    retry_budget budget_;
    std::vector<admission_queue> queues_;
    std::map<std::uint64_t, request_ptr> waiting_;
};

class simulation {
public:
    simulation(const deployment& place, const scenario& plan) : state_{place, plan}
    {
        for (const auto& engine : place.engines) {
            state_.engines.push_back(std::make_unique<engine_model>(state_.events, engine));
        }
        for (const auto& model : place.models) {
            state_.versions.emplace_back(model.name);
        }
        for (const auto& domain : place.vm_domains) {
            vms_.push_back(std::make_unique<vm_model>(state_, domain));
        }
        build_prefixes();
        for (const auto& type : place.types) {
            shares_.push_back(type.share);
        }
    }
    run_result run()
    {
        start_ = state_.events.now();
        end_ = start_ + state_.plan.length;
        engine_model* faulty = state_.engines[state_.plan.faulty_engine].get();
        state_.events.after(state_.plan.length / 4,
                            [this, faulty] { faulty->set_fault(state_.plan.fault); });
        state_.events.after(state_.plan.length * 3 / 4,
                            [faulty] { faulty->set_fault(engine_fault::none); });
        arrive();
        publish_engine_state();
        state_.events.run_until(end_ + 60s);
        state_.result.seconds = seconds(state_.plan.length - warm_up);
        return std::move(state_.result);
    }

private:
    // Each prefix is shared by the requests of one kind; it covers three quarters of the prompt.
    void build_prefixes()
    {
        for (const auto& type : state_.place.types) {
            auto& type_prefixes = prefixes_.emplace_back(type.prefixes);
            for (auto& prefix : type_prefixes) {
                prefix.resize(static_cast<std::size_t>(type.prompt_tokens * 0.75 /
                                                       engine_model::block_tokens));
                for (auto& block : prefix) {
                    block = state_.generator();
                }
            }
        }
    }
    void arrive()
    {
        if (state_.events.now() >= end_) {
            return;
        }
        const double wait = draw_exponential(state_.generator, 1 / state_.plan.requests_per_second);
        state_.events.after(from_seconds(wait), [this] {
            std::discrete_distribution<std::size_t> kind{shares_.begin(), shares_.end()};
            const std::size_t n = kind(state_.generator);
            const auto request = std::make_shared<live_request>();
            request->token = ++tokens_;
            request->type = &state_.place.types[n];
            // Squaring makes the first prefixes of a request type more popular.
            const double popularity = std::uniform_real_distribution<double>{}(state_.generator);
            request->prefix = &prefixes_[n][static_cast<std::size_t>(
                popularity * popularity * static_cast<double>(prefixes_[n].size()))];
            request->answer_tokens =
                draw_exponential(state_.generator, request->type->answer_tokens);
            request->arrived = state_.events.now();
            request->counted = request->arrived >= start_ + warm_up;
            vms_[state_.generator() % vms_.size()]->arrive(request);
            arrive();
        });
    }
    void publish_engine_state()
    {
        if (state_.events.now() >= end_ + 30s) {
            return;
        }
        for (std::size_t i = 0; i < state_.engines.size(); ++i) {
            const load_report load{state_.engines[i]->running(), state_.engines[i]->waiting(), {}};
            const auto changes = state_.engines[i]->take_cache_events();
            const bool gap = std::bernoulli_distribution{cache_gap_share}(state_.generator);
            for (const auto& vm : vms_) {
                const duration lag = vm->report_lag(i);
                state_.events.after(lag, [&vm, i, load, lag] {
                    vm->report(i, {load.running, load.waiting, lag});
                });
                state_.events.after(cache_event_lag, [&vm, i, gap, changes] {
                    vm->cache_events(i, gap, changes.first, changes.second);
                });
            }
        }
        for (const auto& vm : vms_) {
            vm->expire_and_dispatch();
            vm->send_statistics_to(vms_);
        }
        state_.events.after(report_interval, [this] { publish_engine_state(); });
    }

    simulation_state state_;
    std::vector<std::unique_ptr<vm_model>> vms_;
    std::vector<std::vector<std::vector<std::uint64_t>>> prefixes_;
    std::vector<double> shares_;
    time_point start_;
    time_point end_;
    std::uint64_t tokens_{0};
};

} // namespace

run_result run(const deployment& deployment, const scenario& scenario)
{
    return simulation{deployment, scenario}.run();
}

double capacity_of(const deployment& deployment)
{
    double low = 1;
    double high = 600;
    for (int i = 0; i < 10; ++i) {
        const double rate = (low + high) / 2;
        scenario plan;
        plan.requests_per_second = rate;
        plan.chooser.latency_weight = deployment.latency_weight;
        plan.chooser.cost_weight = deployment.cost_weight;
        plan.chooser.link_cost_per_mb = link_cost_per_mb;
        const run_result result = run(deployment, plan);
        (result.in_time >= 0.95 * result.offered ? low : high) = rate;
    }
    return low;
}

} // namespace wagtailhitch::bench
