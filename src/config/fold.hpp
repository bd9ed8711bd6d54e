#pragma once

#include "base/ids.hpp"
#include "base/names.hpp"
#include "config/change.hpp"
#include "config/document.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Computes the current configuration as a deterministic fold over the log stream `config`.
//
//   config_fold fold{{operator_keys, cluster_key}};
//   fold.advance_oldest(batch.oldest);
//   for (const auto& r : batch.records) { for (auto& out : fold.apply(r.offset, r.data)) ... }
//   std::shared_ptr<const document> doc = fold.current();
//
// The result depends only on the records and their offsets, never on time or on how the records
// were delivered. The revision of an accepted change is the offset of the part that completed it
// plus 1, so that 0 means "none".

namespace wagtailhitch {

enum class reject_reason {
    malformed,
    unknown_operator,
    signature_invalid,
    base_outdated,
    base_unknown,
    patch_failed,
    document_invalid,
    digest_mismatch,
    parts_evicted,
};

template<>
inline constexpr auto enum_names<reject_reason> = name_table<reject_reason, 9>{{
    {reject_reason::malformed, "malformed"},
    {reject_reason::unknown_operator, "unknown_operator"},
    {reject_reason::signature_invalid, "signature_invalid"},
    {reject_reason::base_outdated, "base_outdated"},
    {reject_reason::base_unknown, "base_unknown"},
    {reject_reason::patch_failed, "patch_failed"},
    {reject_reason::document_invalid, "document_invalid"},
    {reject_reason::digest_mismatch, "digest_mismatch"},
    {reject_reason::parts_evicted, "parts_evicted"},
}};

/// The result of a submission: accepted or rejected.
struct change_verdict {
    std::string submission;
    log_offset offset{0};                 ///< of the record that led to the verdict
    std::optional<reject_reason> refused; ///< empty when accepted
    std::string detail;
    std::string author;
    /// Accepted: the change's revision. Rejected: the revision that was current at that time.
    revision at{0};

    [[nodiscard]] bool accepted() const { return !refused.has_value(); }
    friend bool operator==(const change_verdict&, const change_verdict&) = default;
};

struct change_accepted {
    change_verdict verdict;
};
struct change_rejected {
    change_verdict verdict;
};
/// The submission id already has a verdict, which is returned here.
struct change_repeated {
    change_verdict verdict;
};
/// Parts of the change are still missing.
struct change_incomplete {
    std::string submission;
    std::uint32_t parts{0};
    std::uint32_t arrived{0};
};
/// The state was replaced by a snapshot; the fold continues with the record at `next`.
struct snapshot_adopted {
    revision at{0};
    log_offset next{0};
};
/// The record had no effect: it is unrelated, malformed or already applied.
struct record_ignored {
    log_offset offset{0};
    std::string reason;
};
/// Records before this one are missing; the fold expects the record at `next`.
struct record_out_of_order {
    log_offset offset{0};
    log_offset next{0};
};

using config_output =
    std::variant<change_accepted, change_rejected, change_repeated, change_incomplete,
                 snapshot_adopted, record_ignored, record_out_of_order>;

/// The parts received so far of an incomplete change.
struct pending_change {
    std::string submission;
    std::string content;
    std::uint32_t parts{0};
    log_offset first_offset{0};
    std::map<std::uint32_t, std::string> data;

    friend bool operator==(const pending_change&, const pending_change&) = default;
};

/// The complete state of the fold after all records before `next`: a pure function of that prefix
/// of the log.
struct config_snapshot {
    log_offset next{0}; ///< offset of the first record that is not included
    revision at{0};
    std::shared_ptr<const document> doc;
    std::string author;
    std::vector<change_verdict> verdicts; ///< oldest first
    std::vector<pending_change> pending;  ///< sorted by first offset
};

/// JSON that is exchanged with peers. It carries no authentication code, as the connection
/// authenticates the peer. Errors: config_invalid.
nlohmann::json to_json(const config_snapshot& snapshot);
expected<config_snapshot> snapshot_from_json(const nlohmann::json& json);

/// Encodes a snapshot as records of the stream `config`, authenticated with the cluster key.
/// Errors: config_invalid when the snapshot needs more than max_config_parts parts.
expected<std::vector<std::string>> encode_snapshot(const config_snapshot& snapshot,
                                                   std::string_view cluster_key);

/// Decodes a snapshot from the joined data of its parts. Errors: config_invalid, signature_invalid.
expected<config_snapshot> decode_snapshot(std::string_view joined, std::string_view cluster_key);

struct config_fold_settings {
    std::map<std::string, std::string> operator_keys; ///< name -> raw public key
    std::string cluster_key;                          ///< authenticates snapshot records
    /// These bounds must be equal on all VMs, as they determine which changes are evicted.
    std::size_t verdicts_kept{1024};
    std::size_t pending_count{64};
    std::size_t pending_bytes{std::size_t{8} * 1024 * 1024};
    /// An incomplete change is evicted after this many records, long after its submitter has timed
    /// out.
    log_offset pending_span{4096};
};

class config_fold {
public:
    explicit config_fold(config_fold_settings settings);

    /// Applies one record. Records before next_offset() are ignored, so that several relays may
    /// deliver the same record. A record after next_offset() has no effect and returns
    /// record_out_of_order.
    std::vector<config_output> apply(log_offset offset, std::string_view record);

    /// Tells the fold that the log holds no record before `oldest`. When this removes records that
    /// were not applied, the fold keeps its state and searches the records from `oldest` on for a
    /// snapshot. Returns true when it starts to search.
    bool advance_oldest(log_offset oldest);

    /// Replaces the state by a snapshot. Returns false, without a change, when the snapshot has a
    /// lower revision than the current one, includes no further records, or is followed by records
    /// that the log no longer holds. With an equal revision the document must be the same, and only
    /// the offset, the verdicts and the pending changes are replaced.
    bool adopt(const config_snapshot& snapshot);

    /// Never null; the empty document at revision 0.
    [[nodiscard]] const std::shared_ptr<const document>& current() const { return doc_; }
    [[nodiscard]] wagtailhitch::revision current_revision() const { return revision_; }
    /// document_digest() of the current document.
    [[nodiscard]] const std::string& digest() const { return digest_; }
    /// Public key of the operator who submitted the current revision; empty at revision 0.
    [[nodiscard]] const std::string& author() const { return author_; }
    /// Offset of the next record to apply.
    [[nodiscard]] log_offset next_offset() const { return next_; }
    /// Offset of the first record that is not included in the state; differs from next_offset()
    /// while the fold searches for a snapshot.
    [[nodiscard]] log_offset folded_through() const { return folded_; }
    /// True after unapplied records were lost, until a snapshot is found.
    [[nodiscard]] bool seeking_snapshot() const { return seeking_; }
    /// The verdict on a submission, if it is among the last `verdicts_kept` signed submissions.
    [[nodiscard]] std::optional<change_verdict> verdict(const std::string& submission) const;
    [[nodiscard]] const std::deque<change_verdict>& verdicts() const { return verdicts_; }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }
    [[nodiscard]] config_snapshot snapshot() const;

private:
    using part_key = std::pair<std::string, std::string>; // name, content digest
    using part_map = std::map<part_key, pending_change>;

    std::vector<config_output> fold_change_part(log_offset offset, config_part part);
    std::optional<config_output> fold_snapshot_part(log_offset offset, config_part part);
    config_output evaluate(log_offset offset, const pending_change& complete);
    config_output evaluate_signed(log_offset offset, const config_change& change);
    config_output finish_change(change_verdict verdict, bool keep);
    void activate(const change_verdict& verdict, document result, nlohmann::json canonical);
    void evict(log_offset offset, std::vector<config_output>& out);
    void store_verdict(const change_verdict& verdict);

    config_fold_settings settings_;
    std::set<std::string> authors_; // hexadecimal public keys
    std::shared_ptr<const document> doc_;
    nlohmann::json canonical_;
    std::string digest_;
    std::string author_;
    wagtailhitch::revision revision_{0};
    log_offset next_{0};
    log_offset folded_{0};
    log_offset oldest_{0};
    bool seeking_{false};
    part_map pending_;
    std::size_t pending_bytes_{0};
    part_map snapshot_parts_;
    std::deque<change_verdict> verdicts_;
};

} // namespace wagtailhitch
