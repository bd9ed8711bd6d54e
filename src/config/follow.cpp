#include "config/follow.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

// Keeps an answer well below the maximum size of a peer frame (1 MiB).
constexpr std::size_t answer_bytes = std::size_t{256} * 1024;
// Answers to older requests do not confirm the current state.
constexpr duration correlation_id_lifetime = 10s;
constexpr std::size_t max_correlation_ids = 64;
// A peer that has not answered for this long cannot confirm the state of a booting VM.
constexpr duration confirmation_lifetime = 5s;
constexpr std::size_t required_confirmations = 2;

std::uint64_t correlation_id_of(time_point now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

time_point sent_at_of(std::uint64_t correlation_id)
{
    return time_point{duration{static_cast<duration::rep>(correlation_id)}};
}

std::vector<vm_id> choose_relays(const std::vector<domain_member>& members, const vm_id& self,
                                 std::size_t n)
{
    std::vector<vm_id> out{self};
    for (const auto& member : members) {
        if (member.same_domain) {
            out.push_back(member.vm);
        }
    }
    std::ranges::sort(out, std::ranges::greater{}, [](const vm_id& vm) {
        return std::pair{rendezvous_weight("config-relay", vm.value), vm};
    });
    out.resize(std::min(n, out.size()));
    return out;
}

} // namespace

config_follower::config_follower(follow_settings settings, config_fold fold, time_point now)
    : settings_{std::move(settings)}, fold_{std::move(fold)}, random_{settings_.seed},
      started_at_{now}, relays_{settings_.self}
{
}

void config_follower::set_members(std::vector<domain_member> live, std::size_t listed,
                                  time_point now, outputs& out)
{
    std::erase_if(live, [this](const auto& member) { return member.vm == settings_.self; });
    listed_ = std::max(listed, live.size());
    if (live == members_) {
        return;
    }
    members_ = std::move(live);
    relays_ = choose_relays(members_, settings_.self, settings_.relays);
    std::erase_if(peers_, [this](const auto& entry) {
        return std::ranges::find(members_, entry.first, &domain_member::vm) == members_.end();
    });
    decide_following(now, out);
}

bool config_follower::relay() const
{
    return std::ranges::find(relays_, settings_.self) != relays_.end();
}

bool config_follower::stale(time_point now) const
{
    return !confirmed_at_ || now - *confirmed_at_ > settings_.stale_after;
}

bool config_follower::cut_off(time_point now) const
{
    return !confirmed_at_ || now - *confirmed_at_ > settings_.cut_off_after;
}

void config_follower::on_log(const log_batch& batch, time_point now, outputs& out)
{
    log_heard_at_ = now;
    log_failed_ = false;
    if (fold_.advance_oldest(batch.oldest)) {
        reset_cache();
        ask_peers(now, out);
    }
    const bool was_ready = ready_;
    std::vector<log_record> new_records;
    apply(batch.records, new_records, out);
    if (!fold_.seeking_snapshot() && fold_.folded_through() >= batch.head) {
        confirm(batch.asked_at, now);
        ready_ = true;
    }
    // While a VM boots, it reads records that the others already have, and does not push them.
    if (was_ready && relay()) {
        push(new_records, now, out);
    }
    // The long poll continues after the batch. After a snapshot, the fold may need earlier records,
    // so the long poll is restarted.
    const auto read_up_to = batch.records.empty() ? batch.from : batch.records.back().offset + 1;
    if (following_ && fold_.next_offset() < read_up_to) {
        out.emplace_back(start_following{fold_.next_offset()});
    }
    decide_following(now, out);
}

void config_follower::on_log_failed(time_point now, outputs& out)
{
    log_failed_ = true;
    decide_readiness(now);
    decide_following(now, out);
}

void config_follower::apply(const std::vector<log_record>& records,
                            std::vector<log_record>& new_records, outputs& out)
{
    for (const auto& record : records) {
        const auto before = fold_.folded_through();
        auto events = fold_.apply(record.offset, record.data);
        if (before == record.offset && fold_.folded_through() == record.offset + 1) {
            cache_record(record);
            new_records.push_back(record);
        }
        report(std::move(events), out);
    }
}

void config_follower::report(std::vector<config_output> events, outputs& out)
{
    for (auto& event : events) {
        if (std::holds_alternative<snapshot_adopted>(event)) {
            reset_cache();
        }
        out.emplace_back(fold_event{std::move(event)});
    }
}

void config_follower::cache_record(const log_record& record)
{
    cache_bytes_ += record.data.size();
    cache_.push_back(record);
    while (cache_.size() > settings_.cache_records || cache_bytes_ > settings_.cache_bytes) {
        cache_bytes_ -= cache_.front().data.size();
        cache_.pop_front();
    }
}

void config_follower::reset_cache()
{
    cache_.clear();
    cache_bytes_ = 0;
}

records_message config_follower::answer_from(log_offset from, time_point now) const
{
    records_message out;
    out.next = fold_.folded_through();
    out.oldest = cache_.empty() ? out.next : cache_.front().offset;
    out.ready = ready_ && !fold_.seeking_snapshot();
    if (confirmed_at_) {
        out.confirmed_age = now - *confirmed_at_;
    }
    std::size_t bytes = 0;
    for (auto i = std::max(from, out.oldest); i < out.next && bytes < answer_bytes; ++i) {
        const auto& record = cache_.at(i - out.oldest);
        bytes += record.data.size();
        out.records.push_back(record);
    }
    return out;
}

void config_follower::push(const std::vector<log_record>& new_records, time_point now,
                           outputs& out) const
{
    if (new_records.empty()) {
        return;
    }
    const auto message = answer_from(new_records.front().offset, now);
    for (const auto& member : members_) {
        const bool reads_log = std::ranges::find(relays_, member.vm) != relays_.end();
        if (member.same_domain && !reads_log) {
            out.emplace_back(send_records{member.vm, message});
        }
    }
}

void config_follower::on_request(const vm_id& peer, const records_request& request, time_point now,
                                 outputs& out)
{
    auto message = answer_from(request.from, now);
    message.correlation_id = request.correlation_id;
    const bool lost = request.snapshot || request.from < message.oldest;
    if (lost && message.ready && message.next > request.from) {
        out.emplace_back(send_snapshot{peer, fold_.snapshot(), request.correlation_id});
        return;
    }
    if (lost) {
        message.records.clear();
    }
    out.emplace_back(send_records{peer, std::move(message)});
}

bool config_follower::is_recent_request(std::uint64_t correlation_id, time_point now) const
{
    return std::ranges::find(correlation_ids_, correlation_id) != correlation_ids_.end() &&
           now - sent_at_of(correlation_id) <= correlation_id_lifetime;
}

void config_follower::on_records(const vm_id& peer, const records_message& message, time_point now,
                                 outputs& out)
{
    const auto before = fold_.next_offset();
    std::vector<log_record> new_records;
    if (!fold_.seeking_snapshot()) {
        apply(message.records, new_records, out);
    }
    accept_answer(peer, message, now);
    // After an answer without progress, the peer has no further records to send, so it is not asked
    // again immediately.
    const bool progress = fold_.next_offset() > before || !message.correlation_id;
    if (progress && message.next > fold_.folded_through()) {
        ask(peer, now, out);
    }
    decide_readiness(now);
    decide_following(now, out);
}

void config_follower::accept_answer(const vm_id& peer, const records_message& message,
                                    time_point now)
{
    if (!message.correlation_id || !is_recent_request(*message.correlation_id, now)) {
        return;
    }
    peers_[peer] = {message.next, message.ready, now};
    if (!message.ready || !message.confirmed_age || fold_.seeking_snapshot() ||
        fold_.folded_through() < message.next) {
        return;
    }
    // The peer computes confirmed_age after the request was sent. Subtracting it from the send time
    // therefore never makes the state look more recent than it is, however long the answer took.
    confirm(sent_at_of(*message.correlation_id) - *message.confirmed_age, now);
    if (!stale(now)) {
        confirmed_by_peer_at_ = now;
        ready_ = true;
    }
}

void config_follower::on_snapshot(const vm_id& peer, const config_snapshot& snapshot,
                                  time_point now, outputs& out)
{
    if (!fold_.adopt(snapshot)) {
        return;
    }
    reset_cache();
    out.emplace_back(fold_event{snapshot_adopted{fold_.current_revision(), fold_.next_offset()}});
    if (following_) {
        out.emplace_back(start_following{fold_.next_offset()});
    }
    ask(peer, now, out);
}

void config_follower::confirm(time_point at, time_point now)
{
    at = std::min(at, now);
    if (!confirmed_at_ || at > *confirmed_at_) {
        confirmed_at_ = at;
    }
}

void config_follower::ask(const vm_id& peer, time_point now, outputs& out)
{
    const auto correlation_id = correlation_id_of(now);
    if (correlation_ids_.empty() || correlation_ids_.back() != correlation_id) {
        correlation_ids_.push_back(correlation_id);
    }
    if (correlation_ids_.size() > max_correlation_ids) {
        correlation_ids_.pop_front();
    }
    out.emplace_back(
        send_request{peer, {fold_.folded_through(), fold_.seeking_snapshot(), correlation_id}});
}

std::vector<vm_id> config_follower::peers_to_ask(time_point now)
{
    std::vector<vm_id> out;
    std::vector<vm_id> others;
    for (const auto& vm : relays_) {
        if (vm != settings_.self) {
            out.push_back(vm);
        }
    }
    if (!out.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(next_relay_++ % out.size());
        std::rotate(out.begin(), out.begin() + first, out.end());
    }
    // Relays read the log and do not poll peers while the log confirms their state. A VM without an
    // up-to-date state also asks other VMs at random, including those of other failure domains.
    const bool needs_fresh_state = !ready_ || stale(now) || fold_.seeking_snapshot();
    if (!needs_fresh_state) {
        out.resize(relay() ? 0 : std::min<std::size_t>(1, out.size()));
        return out;
    }
    for (const auto& member : members_) {
        if (std::ranges::find(out, member.vm) == out.end()) {
            others.push_back(member.vm);
        }
    }
    std::ranges::shuffle(others, random_);
    out.resize(std::min<std::size_t>(1, out.size()));
    others.resize(std::min(others.size(), required_confirmations + 1 - out.size()));
    out.insert(out.end(), others.begin(), others.end());
    return out;
}

void config_follower::ask_peers(time_point now, outputs& out)
{
    asked_at_ = now;
    for (const auto& vm : peers_to_ask(now)) {
        ask(vm, now, out);
    }
}

void config_follower::tick(time_point now, outputs& out)
{
    if (!asked_at_ || now - *asked_at_ >= settings_.poll_interval) {
        ask_peers(now, out);
    }
    decide_readiness(now);
    decide_following(now, out);
}

void config_follower::decide_following(time_point now, outputs& out)
{
    const bool peers_deliver =
        confirmed_by_peer_at_ && now - *confirmed_by_peer_at_ <= settings_.stale_after;
    if (!ready_ || relay() || (reads_log_directly_ && peers_deliver)) {
        reads_log_directly_ = false;
        direct_read_at_.reset();
    }
    else if (!reads_log_directly_ && stale(now) && !direct_read_at_) {
        // When the relays of a failure domain fail, the jitter prevents its VMs from all reading
        // the log at once, and lets the peers that were asked at the same time answer first.
        const auto longest = settings_.max_log_jitter.count();
        std::uniform_int_distribution<duration::rep> jitter{longest / 4, longest};
        direct_read_at_ = now + duration{jitter(random_)};
    }
    else if (!reads_log_directly_ && !stale(now)) {
        direct_read_at_.reset();
    }
    reads_log_directly_ = reads_log_directly_ || (direct_read_at_ && now >= *direct_read_at_);
    const bool wanted = !ready_ || relay() || reads_log_directly_;
    if (wanted == following_) {
        return;
    }
    following_ = wanted;
    if (following_) {
        out.emplace_back(start_following{fold_.next_offset()});
    }
    else {
        out.emplace_back(stop_following{});
    }
}

void config_follower::decide_readiness(time_point now)
{
    const bool log_unreachable =
        log_failed_ || (!log_heard_at_ && now - started_at_ > settings_.log_grace);
    if (ready_ || !log_unreachable || fold_.seeking_snapshot()) {
        return;
    }
    std::size_t confirming = 0;
    for (const auto& [vm, peer] : peers_) {
        if (!peer.ready || now - peer.heard_at > confirmation_lifetime) {
            continue;
        }
        if (peer.next > fold_.folded_through()) {
            return;
        }
        ++confirming;
    }
    const auto needed = std::min(required_confirmations, std::max<std::size_t>(1, listed_));
    ready_ = confirming >= needed;
}

config_readiness config_follower::readiness() const
{
    if (ready_) {
        return {true, {}};
    }
    if (fold_.seeking_snapshot()) {
        return {false, "The log's first records have expired and no snapshot has been found yet."};
    }
    if (!log_failed_) {
        return {false, "The configuration has not been read up to the log's head yet."};
    }
    if (members_.empty()) {
        return {false, "The log is unavailable and there is no peer to confirm the configuration."};
    }
    return {false, "The log is unavailable and too few peers have confirmed the configuration."};
}

} // namespace wagtailhitch
