#include "billing/bill_buffer.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

// Ended incarnations are kept in order to recognize copies of their bills that arrive late.
constexpr std::size_t max_ended_processes = 1024;

constexpr duration max_resend_interval = 30s;
constexpr duration held_check_interval = 1min;

// Memory of one bill's map node, entry and queue element, counted against the byte limit; add_bill
// in bench/claims_benchmark.cpp compares it with the allocator.
constexpr std::size_t bill_overhead = 120;

// Size of an element's MessagePack header.
constexpr std::size_t element_overhead = 5;

std::size_t accounted_bytes(const std::string& encoded)
{
    return encoded.size() + bill_overhead;
}

process_id process_of(const request_id& request)
{
    return {request.vm, request.run};
}

} // namespace

bill_buffer::bill_buffer(process_id self, bill_buffer_settings settings)
    : self_{std::move(self)}, settings_{settings}
{
}

void bill_buffer::set_peers(const std::vector<process_id>& live)
{
    auto chosen = live;
    const auto weight = [this](const process_id& peer) {
        return rendezvous_weight(self_.vm.value, peer.vm.value);
    };
    std::sort(chosen.begin(), chosen.end(),
              [&](const auto& a, const auto& b) { return weight(a) > weight(b); });
    chosen.resize(std::min(chosen.size(), settings_.copies));
    if (chosen == holders_) {
        return;
    }
    holders_ = std::move(chosen);
    std::erase_if(messages_, [&](const auto& it) { return !is_holder(it.second.peer); });
    std::erase_if(pending_done_notices_, [&](const auto& it) { return !is_holder(it.first); });
    queue_missing_copies();
}

void bill_buffer::add(const bill& created, time_point now)
{
    const auto sequence = created.request.sequence;
    const auto [it, added] = own_.emplace(sequence, own_bill{encode_bill(created), {}, false});
    if (!added) {
        return;
    }
    bytes_ += accounted_bytes(it->second.encoded);
    unreleased_.push_back({sequence, now});
    own_to_append_.push_back(sequence);
    for (const auto& peer : holders_) {
        to_copy_[peer].push_back(created.request);
    }
}

void bill_buffer::on_ack(const process_id& peer, std::uint64_t id, std::vector<bill_output>& out)
{
    const auto it = messages_.find(id);
    if (it == messages_.end() || it->second.peer != peer) {
        return;
    }
    const auto message = std::move(it->second);
    messages_.erase(it);
    if (message.done) {
        return;
    }
    for (const auto& request : message.bills) {
        copied(peer, request, out);
    }
}

bool bill_buffer::hold_copies(std::string_view data, time_point now)
{
    const auto bills = split_bill_batch(data);
    if (!bills || full()) {
        return false;
    }
    for (const auto& encoded : *bills) {
        const auto subject = decode_bill(encoded);
        if (!subject) {
            return false;
        }
        const auto owner = process_of(subject->request);
        if (owner == self_ ||
            !held_[owner]
                 .emplace(subject->request.sequence, held_bill{encoded, now, false})
                 .second) {
            continue;
        }
        ++held_count_;
        bytes_ += accounted_bytes(encoded);
        if (std::find(ended_processes_.begin(), ended_processes_.end(), owner) !=
            ended_processes_.end()) {
            held_to_append_.push_back(subject->request);
        }
    }
    return true;
}

void bill_buffer::drop_copies(const process_id& owner, const std::vector<std::uint64_t>& sequences)
{
    for (const auto sequence : sequences) {
        drop_held({owner.vm, owner.run, sequence});
    }
}

void bill_buffer::on_append_result(std::uint64_t id, bool stored, time_point now,
                                   std::vector<bill_output>& out)
{
    const auto it = appends_.find(id);
    if (it == appends_.end()) {
        return;
    }
    if (!stored) {
        it->second.retry_at = now + settings_.append_retry;
        return;
    }
    const auto bills = std::move(it->second.bills);
    appends_.erase(it);
    for (const auto& request : bills) {
        on_stored(request, out);
    }
}

void bill_buffer::retry_appends()
{
    for (auto& [id, append] : appends_) {
        append.retry_at = {};
    }
}

void bill_buffer::on_stream(std::string_view data, std::vector<bill_output>& out)
{
    const auto bills = decode_bill_batch(data);
    if (!bills) {
        return;
    }
    for (const auto& subject : *bills) {
        on_stored(subject.request, out);
    }
}

void bill_buffer::on_process_ended(const process_id& ended)
{
    if (std::find(ended_processes_.begin(), ended_processes_.end(), ended) !=
        ended_processes_.end()) {
        return;
    }
    ended_processes_.push_back(ended);
    if (ended_processes_.size() > max_ended_processes) {
        ended_processes_.pop_front();
    }
    const auto held = held_.find(ended);
    if (held == held_.end()) {
        return;
    }
    for (const auto& [sequence, subject] : held->second) {
        held_to_append_.push_back({ended.vm, ended.run, sequence});
    }
}

void bill_buffer::begin_stop()
{
    stopping_ = true;
    // Copies of live owners are not handed over: the owner chooses another holder when this VM
    // leaves.
    for (const auto& [owner, bills] : held_) {
        if (std::find(ended_processes_.begin(), ended_processes_.end(), owner) ==
            ended_processes_.end()) {
            continue;
        }
        for (const auto& [sequence, subject] : bills) {
            for (const auto& peer : holders_) {
                to_copy_[peer].push_back({owner.vm, owner.run, sequence});
            }
        }
    }
}

bool bill_buffer::drained() const
{
    const auto wanted = std::min(settings_.copies, holders_.size());
    for (const auto& [sequence, subject] : own_) {
        if (!subject.released || wanted == 0 || live_copies(subject) < wanted) {
            return false;
        }
    }
    for (const auto& ended : ended_processes_) {
        const auto held = held_.find(ended);
        if (held == held_.end()) {
            continue;
        }
        for (const auto& [sequence, subject] : held->second) {
            if (!subject.handed_over) {
                return false;
            }
        }
    }
    return true;
}

std::vector<bill_output> bill_buffer::tick(time_point now)
{
    std::vector<bill_output> out;
    release_overdue(now, out);
    if (now >= next_copy_) {
        next_copy_ = now + settings_.copy_interval;
        resend_messages(now, out);
        send_copies(now, out);
        send_done_notices(now, out);
    }
    append_old_copies(now);
    send_appends(now, out);
    return out;
}

bool bill_buffer::is_own(const request_id& request) const
{
    return process_of(request) == self_;
}

const std::string* bill_buffer::encoded(const request_id& request) const
{
    if (is_own(request)) {
        const auto it = own_.find(request.sequence);
        return it == own_.end() ? nullptr : &it->second.encoded;
    }
    const auto held = held_.find(process_of(request));
    if (held == held_.end()) {
        return nullptr;
    }
    const auto it = held->second.find(request.sequence);
    return it == held->second.end() ? nullptr : &it->second.encoded;
}

bool bill_buffer::is_holder(const process_id& peer) const
{
    return std::find(holders_.begin(), holders_.end(), peer) != holders_.end();
}

std::size_t bill_buffer::live_copies(const own_bill& subject) const
{
    const auto count =
        std::count_if(subject.holders.begin(), subject.holders.end(), [this](peer_number number) {
            return number != 0 && is_holder(peers_[number - 1U]);
        });
    return static_cast<std::size_t>(count);
}

bill_buffer::peer_number bill_buffer::peer_number_for(const process_id& peer)
{
    const auto it = std::find(peers_.begin(), peers_.end(), peer);
    const auto number = static_cast<peer_number>(it - peers_.begin() + 1);
    if (it == peers_.end()) {
        peers_.push_back(peer);
    }
    return number;
}

void bill_buffer::copied(const process_id& peer, const request_id& request,
                         std::vector<bill_output>& out)
{
    if (!is_own(request)) {
        const auto held = held_.find(process_of(request));
        if (held != held_.end() && held->second.count(request.sequence) > 0) {
            held->second.at(request.sequence).handed_over = true;
        }
        return;
    }
    const auto it = own_.find(request.sequence);
    if (it == own_.end()) {
        // The bill was stored in the stream before the ack arrived, so the peer may drop its copy.
        pending_done_notices_[peer].push_back(request);
        return;
    }
    const auto number = peer_number_for(peer);
    auto& holders = it->second.holders;
    if (std::find(holders.begin(), holders.end(), number) == holders.end()) {
        const auto place = std::find_if(holders.begin(), holders.end(), [this](peer_number n) {
            return n == 0 || !is_holder(peers_[n - 1U]);
        });
        if (place != holders.end()) {
            *place = number;
        }
    }
    release(request, it->second, true, out);
}

void bill_buffer::on_stored(const request_id& request, std::vector<bill_output>& out)
{
    if (is_own(request)) {
        on_own_stored(request.sequence, out);
    }
    else {
        drop_held(request);
    }
}

void bill_buffer::on_own_stored(std::uint64_t sequence, std::vector<bill_output>& out)
{
    const auto it = own_.find(sequence);
    if (it == own_.end()) {
        return;
    }
    const request_id request{self_.vm, self_.run, sequence};
    release(request, it->second, true, out);
    for (const auto number : it->second.holders) {
        if (number != 0 && is_holder(peers_[number - 1U])) {
            pending_done_notices_[peers_[number - 1U]].push_back(request);
        }
    }
    bytes_ -= accounted_bytes(it->second.encoded);
    own_.erase(it);
}

void bill_buffer::drop_held(const request_id& request)
{
    const auto held = held_.find(process_of(request));
    if (held == held_.end()) {
        return;
    }
    const auto it = held->second.find(request.sequence);
    if (it == held->second.end()) {
        return;
    }
    bytes_ -= accounted_bytes(it->second.encoded);
    --held_count_;
    held->second.erase(it);
    if (held->second.empty()) {
        held_.erase(held);
    }
}

void bill_buffer::release(const request_id& request, own_bill& subject, bool copied,
                          std::vector<bill_output>& out)
{
    if (!subject.released) {
        subject.released = true;
        out.emplace_back(bill_release{request, copied});
    }
}

// Rebuilds the copy queues after the copy-holders have changed.
void bill_buffer::queue_missing_copies()
{
    to_copy_.clear();
    for (const auto& peer : holders_) {
        const auto number = peer_number_for(peer);
        auto& queue = to_copy_[peer];
        for (const auto& [sequence, subject] : own_) {
            const auto& holders = subject.holders;
            if (std::find(holders.begin(), holders.end(), number) == holders.end()) {
                queue.push_back({self_.vm, self_.run, sequence});
            }
        }
    }
    // Copies in flight to a remaining holder are queued and sent again.
    std::erase_if(messages_, [](const auto& it) { return !it.second.done; });
    if (stopping_) {
        begin_stop();
    }
}

void bill_buffer::release_overdue(time_point now, std::vector<bill_output>& out)
{
    while (!unreleased_.empty()) {
        const auto [sequence, created] = unreleased_.front();
        const auto it = own_.find(sequence);
        const bool waiting = it != own_.end() && !it->second.released;
        if (waiting && !holders_.empty() && now < created + settings_.max_release_delay) {
            return;
        }
        unreleased_.pop_front();
        if (waiting) {
            release({self_.vm, self_.run, sequence}, it->second, false, out);
        }
    }
}

void bill_buffer::send_copies(time_point now, std::vector<bill_output>& out)
{
    for (auto& [peer, queue] : to_copy_) {
        while (!queue.empty()) {
            sent_message message{peer,
                                 {},
                                 false,
                                 now + settings_.initial_resend_interval,
                                 settings_.initial_resend_interval};
            std::size_t bytes = 0;
            while (!queue.empty() && bytes < settings_.maximum_message_bytes) {
                if (const auto* data = encoded(queue.front())) {
                    bytes += data->size() + element_overhead;
                    message.bills.push_back(queue.front());
                }
                queue.pop_front();
            }
            if (!message.bills.empty()) {
                emit(next_id_, message, out);
                messages_.emplace(next_id_++, std::move(message));
            }
        }
    }
}

void bill_buffer::send_done_notices(time_point now, std::vector<bill_output>& out)
{
    for (auto& [peer, bills] : pending_done_notices_) {
        sent_message message{peer, std::move(bills), true, now + settings_.initial_resend_interval,
                             settings_.initial_resend_interval};
        emit(next_id_, message, out);
        messages_.emplace(next_id_++, std::move(message));
    }
    pending_done_notices_.clear();
}

void bill_buffer::resend_messages(time_point now, std::vector<bill_output>& out)
{
    for (auto& [id, message] : messages_) {
        if (now >= message.retry_at) {
            // A peer whose buffer is full does not answer, so the interval grows from 1 second.
            message.wait = std::min(message.wait * 2, max_resend_interval);
            message.retry_at = now + message.wait;
            emit(id, message, out);
        }
    }
}

void bill_buffer::emit(std::uint64_t id, const sent_message& message,
                       std::vector<bill_output>& out) const
{
    if (message.done) {
        bill_done notice{message.peer, id, {}};
        for (const auto& request : message.bills) {
            notice.sequences.push_back(request.sequence);
        }
        out.emplace_back(std::move(notice));
        return;
    }
    std::vector<std::string> bills;
    for (const auto& request : message.bills) {
        if (const auto* data = encoded(request)) {
            bills.push_back(*data);
        }
    }
    out.emplace_back(bill_copy_batch{message.peer, id, encode_bill_batch(bills)});
}

void bill_buffer::append_old_copies(time_point now)
{
    if (now < next_held_check_) {
        return;
    }
    next_held_check_ = now + held_check_interval;
    for (auto& [owner, bills] : held_) {
        for (auto& [sequence, subject] : bills) {
            if (now - subject.received >= settings_.max_hold_time) {
                subject.received = now;
                held_to_append_.push_back({owner.vm, owner.run, sequence});
            }
        }
    }
}

void bill_buffer::send_appends(time_point now, std::vector<bill_output>& out)
{
    for (auto& [id, append] : appends_) {
        if (now >= append.retry_at) {
            append.retry_at = now + settings_.append_timeout;
            out.emplace_back(bill_append{id, append.data});
        }
    }
    if (now < next_append_ && !stopping_) {
        return;
    }
    next_append_ = now + settings_.append_interval;
    while (appends_.size() < settings_.max_appends_in_flight && append_next_record(now, out)) {
    }
}

std::optional<request_id> bill_buffer::next_to_append()
{
    if (!held_to_append_.empty()) {
        auto request = held_to_append_.front();
        held_to_append_.pop_front();
        return request;
    }
    if (own_to_append_.empty()) {
        return std::nullopt;
    }
    const auto sequence = own_to_append_.front();
    own_to_append_.pop_front();
    return request_id{self_.vm, self_.run, sequence};
}

void bill_buffer::requeue(const request_id& request)
{
    if (is_own(request)) {
        own_to_append_.push_front(request.sequence);
    }
    else {
        held_to_append_.push_front(request);
    }
}

bool bill_buffer::append_next_record(time_point now, std::vector<bill_output>& out)
{
    std::vector<std::string> bills;
    sent_append append;
    std::size_t bytes = 0;
    while (const auto request = next_to_append()) {
        const auto* data = encoded(*request);
        if (data == nullptr) {
            continue;
        }
        bytes += data->size() + element_overhead;
        if (!bills.empty() && bytes > settings_.maximum_record_bytes) {
            requeue(*request);
            break;
        }
        bills.push_back(*data);
        append.bills.push_back(*request);
    }
    if (bills.empty()) {
        return false;
    }
    append.data = encode_bill_batch(bills);
    append.retry_at = now + settings_.append_timeout;
    const auto id = next_id_++;
    out.emplace_back(bill_append{id, append.data});
    appends_.emplace(id, std::move(append));
    return true;
}

} // namespace wagtailhitch
