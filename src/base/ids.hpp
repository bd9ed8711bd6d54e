#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

// Identifiers that are shared between modules. Each kind is a type of its own, without implicit
// conversion to another kind.
//
//   request_id id{vm_id{"sierra-a-1"}, 7, 42};
//   to_string(id);   // "sierra-a-1/7/42"

namespace wagtailhitch {

/// A string identifier of one kind; `Tag` makes each kind a distinct type.
template<typename Tag> struct name_id {
    std::string value;

    name_id() = default;
    explicit name_id(std::string text) : value{std::move(text)} {}

    [[nodiscard]] bool empty() const { return value.empty(); }
    friend auto operator<=>(const name_id&, const name_id&) = default;
};

using vm_id = name_id<struct vm_tag>;
using upstream_id = name_id<struct upstream_tag>;
using team_id = name_id<struct team_tag>;
using model_id = name_id<struct model_tag>;
using version_id = name_id<struct version_tag>;
using failure_domain_id = name_id<struct failure_domain_tag>;
using region_id = name_id<struct region_tag>;

/// Distinguishes the runs of one VM's process; taken from the wall clock in microseconds at start.
using incarnation = std::uint64_t;

/// Position of a record in one stream of the log, from 0.
using log_offset = std::uint64_t;

/// Numbers the histories of a log. A log that is restored from an older copy begins a new epoch, in
/// which it assigns offsets again; a log that does not number its epochs stays in epoch 0.
enum class log_epoch : std::uint64_t {};

[[nodiscard]] constexpr std::uint64_t to_number(log_epoch epoch)
{
    return static_cast<std::uint64_t>(epoch);
}

/// Position in one stream of the log. Offsets compare only within one epoch; every position of a
/// later epoch is after all positions of earlier ones.
struct log_position {
    log_epoch epoch{};
    log_offset offset{0};

    friend constexpr auto operator<=>(const log_position&, const log_position&) = default;
};

/// Revision of the configuration: the log offset at which a change took effect; 0 is "none".
using revision = std::uint64_t;

/// One process of one VM.
struct process_id {
    vm_id vm;
    wagtailhitch::incarnation run{0};

    friend auto operator<=>(const process_id&, const process_id&) = default;
};

/// One request of a caller; unique over all VMs and restarts.
struct request_id {
    vm_id vm;
    wagtailhitch::incarnation run{0};
    std::uint64_t sequence{0};

    friend auto operator<=>(const request_id&, const request_id&) = default;
};

/// One attempt of a request at one upstream, numbered from 1 within the request.
struct attempt_id {
    request_id request;
    std::uint32_t number{0};

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

inline std::string to_string(const request_id& id)
{
    return id.vm.value + "/" + std::to_string(id.run) + "/" + std::to_string(id.sequence);
}

inline std::string to_string(const attempt_id& id)
{
    return to_string(id.request) + "/" + std::to_string(id.number);
}

} // namespace wagtailhitch

template<typename Tag> struct std::hash<wagtailhitch::name_id<Tag>> {
    std::size_t operator()(const wagtailhitch::name_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template<> struct std::hash<wagtailhitch::request_id> {
    std::size_t operator()(const wagtailhitch::request_id& id) const noexcept
    {
        return std::hash<std::string>{}(id.vm.value) ^ (id.run * 0x9e3779b97f4a7c15ULL) ^
               id.sequence;
    }
};
