#include "config/fold.hpp"

#include "config/parse.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

using nlohmann::json;

// Snapshots are appended one after another, so only a few can be incomplete at the same time.
constexpr std::size_t max_assembled_snapshots = 4;
// Bounds a verdict's detail, because every snapshot includes it.
constexpr std::size_t max_detail_bytes = 400;

std::string joined(const pending_change& complete)
{
    std::string out;
    for (const auto& [part, data] : complete.data) {
        out += data;
    }
    return out;
}

std::size_t bytes_of(const pending_change& change)
{
    std::size_t n = 0;
    for (const auto& [part, data] : change.data) {
        n += data.size();
    }
    return n;
}

enum class part_effect { repeated, mismatched, added, complete };

part_effect add_part(pending_change& target, log_offset offset, config_part part)
{
    if (target.parts == 0) {
        target = {std::move(part.name), std::move(part.content), part.parts, offset, {}};
    }
    if (target.parts != part.parts) {
        return part_effect::mismatched;
    }
    if (!target.data.emplace(part.part, std::move(part.data)).second) {
        return part_effect::repeated;
    }
    return target.data.size() == target.parts ? part_effect::complete : part_effect::added;
}

template<typename Map> auto oldest_of(Map& changes)
{
    return std::ranges::min_element(changes, {},
                                    [](const auto& entry) { return entry.second.first_offset; });
}

/// Rejects operations such as `copy`, which could double the document each time; make_change() does
/// not generate them.
bool only_allowed_operations(const json& patch)
{
    return std::ranges::all_of(patch, [](const json& operation) {
        if (!operation.is_object() || !operation.contains("op")) {
            return false;
        }
        const auto& op = operation.at("op");
        return op == "add" || op == "remove" || op == "replace" || op == "test";
    });
}

/// Cuts only between UTF-8 characters, because a partial character cannot be encoded as JSON.
void truncate_detail(std::string& text)
{
    if (text.size() <= max_detail_bytes) {
        return;
    }
    auto n = max_detail_bytes;
    while (n > 0 && (static_cast<unsigned char>(text[n]) & 0xc0U) == 0x80U) {
        --n;
    }
    text.resize(n);
}

} // namespace

config_fold::config_fold(config_fold_settings settings)
    : settings_{std::move(settings)}, doc_{std::make_shared<const document>()},
      canonical_(to_json(*doc_)), digest_{document_digest(*doc_)}
{
    for (const auto& [name, key] : settings_.operator_keys) {
        authors_.insert(to_hex(key));
    }
}

std::vector<config_output> config_fold::apply(log_offset offset, std::string_view record)
{
    if (offset < next_) {
        return {record_ignored{offset, "already applied"}};
    }
    if (offset > next_) {
        return {record_out_of_order{offset, next_}};
    }
    ++next_;
    folded_ = seeking_ ? folded_ : next_;
    auto part = decode_part(record);
    if (!part) {
        return {record_ignored{offset, part.error().detail}};
    }
    const bool change = part->kind == config_part::part_kind::change;
    if (change == seeking_) {
        return {record_ignored{offset, seeking_ ? "no state before the first snapshot"
                                                : "snapshot is not needed"}};
    }
    if (change) {
        return fold_change_part(offset, std::move(*part));
    }
    auto out = fold_snapshot_part(offset, std::move(*part));
    return out ? std::vector<config_output>{std::move(*out)} : std::vector<config_output>{};
}

bool config_fold::advance_oldest(log_offset oldest)
{
    oldest_ = std::max(oldest_, oldest);
    if (oldest_ <= next_) {
        return false;
    }
    next_ = oldest_;
    snapshot_parts_.clear();
    return !std::exchange(seeking_, true);
}

bool config_fold::adopt(const config_snapshot& snapshot)
{
    if (snapshot.at < revision_ || snapshot.next <= folded_ || snapshot.next < oldest_ ||
        (snapshot.at == revision_ && *snapshot.doc != *doc_)) {
        return false;
    }
    doc_ = snapshot.doc;
    canonical_ = to_json(*doc_);
    digest_ = document_digest(*doc_);
    author_ = snapshot.author;
    revision_ = snapshot.at;
    folded_ = snapshot.next;
    next_ = snapshot.next;
    seeking_ = false;
    verdicts_.assign(snapshot.verdicts.begin(), snapshot.verdicts.end());
    pending_.clear();
    pending_bytes_ = 0;
    for (const auto& change : snapshot.pending) {
        pending_bytes_ += bytes_of(change);
        pending_.emplace(part_key{change.submission, change.content}, change);
    }
    snapshot_parts_.clear();
    return true;
}

std::optional<config_output> config_fold::fold_snapshot_part(log_offset offset, config_part part)
{
    const part_key key{part.name, part.content};
    auto& target = snapshot_parts_[key];
    const auto effect = add_part(target, offset, std::move(part));
    if (effect != part_effect::complete) {
        if (snapshot_parts_.size() > max_assembled_snapshots) {
            snapshot_parts_.erase(oldest_of(snapshot_parts_));
        }
        return std::nullopt;
    }
    const auto text = joined(target);
    snapshot_parts_.erase(key);
    if (digest128_hex(text) != key.second) {
        return record_ignored{offset, "the parts of the snapshot do not match its digest"};
    }
    const auto snapshot = decode_snapshot(text, settings_.cluster_key);
    if (!snapshot) {
        return record_ignored{offset, snapshot.error().detail};
    }
    if (!adopt(*snapshot)) {
        return record_ignored{offset, "the snapshot is too old"};
    }
    return snapshot_adopted{revision_, next_};
}

std::vector<config_output> config_fold::fold_change_part(log_offset offset, config_part part)
{
    if (const auto first = verdict(part.name)) {
        return {change_repeated{*first}};
    }
    const part_key key{part.name, part.content};
    const auto size = part.data.size();
    auto& target = pending_[key];
    const auto effect = add_part(target, offset, std::move(part));
    if (effect == part_effect::repeated || effect == part_effect::mismatched) {
        return {record_ignored{
            offset, effect == part_effect::repeated ? "part repeated" : "number of parts differs"}};
    }
    pending_bytes_ += size;
    std::vector<config_output> out;
    if (effect == part_effect::complete) {
        const auto complete = std::move(target);
        pending_.erase(key);
        pending_bytes_ -= bytes_of(complete);
        out.push_back(evaluate(offset, complete));
    }
    else {
        out.emplace_back(change_incomplete{target.submission, target.parts,
                                           static_cast<std::uint32_t>(target.data.size())});
    }
    evict(offset, out);
    return out;
}

void config_fold::evict(log_offset offset, std::vector<config_output>& out)
{
    while (!pending_.empty()) {
        const auto it = oldest_of(pending_);
        const auto& change = it->second;
        if (pending_.size() <= settings_.pending_count &&
            pending_bytes_ <= settings_.pending_bytes &&
            offset - change.first_offset <= settings_.pending_span) {
            return;
        }
        pending_bytes_ -= bytes_of(change);
        // The verdict is not stored, so the submission can be sent again: without a verified
        // signature the parts may not come from an operator.
        out.push_back(finish_change({change.submission,
                                     offset,
                                     reject_reason::parts_evicted,
                                     "The change stayed incomplete.",
                                     {},
                                     revision_},
                                    false));
        pending_.erase(it);
    }
}

config_output config_fold::evaluate(log_offset offset, const pending_change& complete)
{
    const auto refuse = [&](reject_reason reason, std::string detail) {
        // Only verdicts on validly signed changes are stored; otherwise anyone could block an
        // operator's submission id.
        return finish_change(
            {complete.submission, offset, reason, std::move(detail), {}, revision_}, false);
    };
    const auto text = joined(complete);
    if (digest128_hex(text) != complete.content) {
        return refuse(reject_reason::malformed, "The parts do not belong together.");
    }
    const auto change = decode_change(text);
    if (!change) {
        return refuse(reject_reason::malformed, change.error().detail);
    }
    if (change->submission != complete.submission) {
        return refuse(reject_reason::malformed, "The parts name another submission.");
    }
    if (!authors_.contains(change->author)) {
        return refuse(reject_reason::unknown_operator, "The author is not a known operator.");
    }
    if (!verify_signature(*change)) {
        return refuse(reject_reason::signature_invalid, "The signature does not fit the change.");
    }
    return evaluate_signed(offset, *change);
}

config_output config_fold::evaluate_signed(log_offset offset, const config_change& change)
{
    const auto refuse = [&](reject_reason reason, std::string detail) {
        return finish_change(
            {change.submission, offset, reason, std::move(detail), change.author, revision_}, true);
    };
    if (change.base != revision_) {
        return refuse(change.base < revision_ ? reject_reason::base_outdated
                                              : reject_reason::base_unknown,
                      "The change is based on revision " + std::to_string(change.base) +
                          ", in force is " + std::to_string(revision_) + ".");
    }
    if (!only_allowed_operations(change.patch)) {
        return refuse(reject_reason::patch_failed,
                      "The patch has an operation other than add, remove, replace and test.");
    }
    json patched;
    try {
        patched = canonical_.patch(change.patch);
    }
    catch (const json::exception& e) {
        return refuse(reject_reason::patch_failed, e.what());
    }
    auto result = parse_document(patched);
    if (!result) {
        return refuse(reject_reason::document_invalid, to_string(result.error().front()));
    }
    auto canonical = to_json(*result);
    if (digest128_hex(canonical.dump()) != change.digest) {
        return refuse(reject_reason::digest_mismatch,
                      "The patched document differs from the submitted one.");
    }
    const change_verdict accepted{change.submission, offset,    std::nullopt, {},
                                  change.author,     offset + 1};
    activate(accepted, std::move(*result), std::move(canonical));
    digest_ = change.digest;
    return finish_change(accepted, true);
}

void config_fold::activate(const change_verdict& verdict, document result, json canonical)
{
    doc_ = std::make_shared<const document>(std::move(result));
    canonical_ = std::move(canonical);
    author_ = verdict.author;
    revision_ = verdict.at;
}

config_output config_fold::finish_change(change_verdict verdict, bool keep)
{
    truncate_detail(verdict.detail);
    if (keep) {
        store_verdict(verdict);
    }
    if (verdict.accepted()) {
        return change_accepted{std::move(verdict)};
    }
    return change_rejected{std::move(verdict)};
}

void config_fold::store_verdict(const change_verdict& verdict)
{
    verdicts_.push_back(verdict);
    if (verdicts_.size() > settings_.verdicts_kept) {
        verdicts_.pop_front();
    }
}

std::optional<change_verdict> config_fold::verdict(const std::string& submission) const
{
    const auto it = std::ranges::find(verdicts_, submission, &change_verdict::submission);
    return it == verdicts_.end() ? std::nullopt : std::optional{*it};
}

config_snapshot config_fold::snapshot() const
{
    config_snapshot out{folded_, revision_, doc_, author_, {verdicts_.begin(), verdicts_.end()},
                        {}};
    for (const auto& [key, change] : pending_) {
        out.pending.push_back(change);
    }
    std::ranges::sort(out.pending, {}, &pending_change::first_offset);
    return out;
}

} // namespace wagtailhitch
