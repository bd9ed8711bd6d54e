#include "claim/detail/claim_index.hpp"

#include <utility>

namespace wagtailhitch::detail {

namespace {

constexpr std::size_t first_size = 16;

std::uint32_t to_slot(std::uint32_t number)
{
    return number + 1;
}

std::uint32_t to_number(std::uint32_t slot)
{
    return slot - 1;
}

} // namespace

std::optional<std::uint32_t> claim_index::find(std::uint64_t hash, const matcher& same) const
{
    if (slots_.empty()) {
        return std::nullopt;
    }
    for (std::size_t at = hash & mask_; slots_[at] != 0; at = next(at)) {
        if (same(to_number(slots_[at]))) {
            return to_number(slots_[at]);
        }
    }
    return std::nullopt;
}

void claim_index::insert(std::uint64_t hash, std::uint32_t number, const hasher& hash_of)
{
    if ((used_ + 1) * 4 > slots_.size() * 3) {
        resize(slots_.empty() ? first_size : slots_.size() * 2, hash_of);
    }
    place(hash, number);
    ++used_;
}

void claim_index::erase(std::uint64_t hash, std::uint32_t number, const hasher& hash_of)
{
    auto at = hash & mask_;
    while (slots_[at] != to_slot(number)) {
        if (slots_[at] == 0) {
            return;
        }
        at = next(at);
    }
    // Moves later members of the probe sequence back, so that no tombstones accumulate.
    for (auto it = next(at); slots_[it] != 0; it = next(it)) {
        const auto home = hash_of(to_number(slots_[it])) & mask_;
        if (((it - home) & mask_) >= ((it - at) & mask_)) {
            slots_[at] = slots_[it];
            at = it;
        }
    }
    slots_[at] = 0;
    --used_;
    if (slots_.size() > first_size && used_ * 8 < slots_.size()) {
        resize(slots_.size() / 2, hash_of);
    }
}

void claim_index::resize(std::size_t size, const hasher& hash_of)
{
    auto old = std::exchange(slots_, std::vector<std::uint32_t>(size, 0));
    mask_ = size - 1;
    for (const auto slot : old) {
        if (slot != 0) {
            place(hash_of(to_number(slot)), to_number(slot));
        }
    }
}

void claim_index::place(std::uint64_t hash, std::uint32_t number)
{
    auto at = hash & mask_;
    while (slots_[at] != 0) {
        at = next(at);
    }
    slots_[at] = to_slot(number);
}

} // namespace wagtailhitch::detail
