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

// The deterministic fold of the log stream `config`.
//
//   config_fold fold{{operator_keys, cluster_key}};
//   fold.note_oldest(batch.oldest);
//   for (const auto& r : batch.records) { for (auto& out : fold.apply(r.offset, r.data)) ... }
//   std::shared_ptr<const document> in_force = fold.current();
//
// The outcome depends only on the records and their offsets, never on time or on how the records
// were delivered. The revision of an accepted change is the offset of its last part to arrive
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

/// The one outcome of a submission.
struct change_verdict {
    std::string submission;
    log_offset offset{0};                 ///< of the last part to arrive
    std::optional<reject_reason> refused; ///< empty when accepted
    std::string detail;
    std::string author;
    /// Accepted: the change's revision. Rejected: the revision in force, which won.
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
/// The submission id had a verdict already; this is the first one.
struct change_repeated {
    change_verdict verdict;
};
/// More parts are needed.
struct change_incomplete {
    std::string submission;
    std::uint32_t parts{0};
    std::uint32_t arrived{0};
};
/// The state was taken over from a snapshot; records are wanted from `next` on.
struct snapshot_adopted {
    revision at{0};
    log_offset next{0};
};
/// The record changed nothing: foreign, malformed or already folded.
struct record_ignored {
    log_offset offset{0};
    std::string reason;
};
/// The record lies behind a gap; records are wanted from `next` on.
struct record_out_of_order {
    log_offset offset{0};
    log_offset next{0};
};

using config_output =
    std::variant<change_accepted, change_rejected, change_repeated, change_incomplete,
                 snapshot_adopted, record_ignored, record_out_of_order>;

/// Parts of a change that is not complete yet.
struct pending_change {
    std::string submission;
    std::string content;
    std::uint32_t parts{0};
    log_offset first_offset{0};
    std::map<std::uint32_t, std::string> data;

    friend bool operator==(const pending_change&, const pending_change&) = default;
};

/// The fold's whole state after the records before `next`: a pure function of the log's prefix.
struct config_snapshot {
    log_offset next{0}; ///< first offset that is not contained
    revision at{0};
    std::shared_ptr<const document> doc;
    std::string author;
    std::vector<change_verdict> verdicts; ///< oldest first
    std::vector<pending_change> pending;  ///< by first offset
};

/// JSON for peers, which are authenticated by their connection. Errors: config_invalid.
nlohmann::json to_json(const config_snapshot& snapshot);
expected<config_snapshot> snapshot_from_json(const nlohmann::json& json);

/// Records for the stream `config`, authenticated with the cluster key. Errors:
/// config_invalid when the snapshot needs more than config_parts_limit parts.
expected<std::vector<std::string>> encode_snapshot(const config_snapshot& snapshot,
                                                   std::string_view cluster_key);

/// The snapshot from the joined data of its parts. Errors: config_invalid, signature_invalid.
expected<config_snapshot> decode_snapshot(std::string_view joined, std::string_view cluster_key);

struct config_fold_settings {
    std::map<std::string, std::string> operator_keys; ///< name -> raw public key
    std::string cluster_key;                          ///< authenticates snapshot records
    /// All VMs must agree on these bounds, as they decide which changes are evicted.
    std::size_t verdicts_kept{1024};
    std::size_t pending_count{64};
    std::size_t pending_bytes{std::size_t{8} * 1024 * 1024};
    /// An incomplete change is evicted after this many records, long after a submitter gave up.
    log_offset pending_span{4096};
};

class config_fold {
public:
    explicit config_fold(config_fold_settings settings);

    /// Folds one record. Records before next_offset() are ignored, so that delivery by several
    /// relays is harmless; a record after it changes nothing and reports the gap.
    std::vector<config_output> apply(log_offset offset, std::string_view record);

    /// The log holds no record before `oldest`. When records that were not folded are lost, the
    /// fold keeps its state and looks for a snapshot from `oldest` on. Returns true when it began
    /// to look.
    bool note_oldest(log_offset oldest);

    /// Takes over a snapshot. Refused (false) when its revision is lower than the current one, it
    /// contains no more records, or records after it are lost. With an equal revision only the
    /// offset moves on.
    bool adopt(const config_snapshot& snapshot);

    /// Never empty; the empty document at revision 0.
    [[nodiscard]] const std::shared_ptr<const document>& current() const { return doc_; }
    [[nodiscard]] wagtailhitch::revision current_revision() const { return revision_; }
    /// document_digest() of the current document.
    [[nodiscard]] const std::string& digest() const { return digest_; }
    /// Public key of the operator who submitted the current revision; empty at revision 0.
    [[nodiscard]] const std::string& author() const { return author_; }
    /// The next record wanted.
    [[nodiscard]] log_offset next_offset() const { return next_; }
    /// First offset that is not contained in the state; differs from next_offset() while the fold
    /// looks for a snapshot.
    [[nodiscard]] log_offset folded_through() const { return folded_; }
    /// True while records were lost and no snapshot has been found.
    [[nodiscard]] bool seeking_snapshot() const { return seeking_; }
    /// The verdict of one of the last `verdicts_kept` signed submissions.
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
    config_output judge(change_verdict verdict, bool keep);
    void put_in_force(const change_verdict& verdict, document result, nlohmann::json canonical);
    void evict(log_offset offset, std::vector<config_output>& out);
    void remember(const change_verdict& verdict);

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
