#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace wagtailhitch::detail {

/// Open-addressing hash index from a key's hash to an entry number. It uses 4 bytes per slot and a
/// load factor of at most 3/4. The caller compares keys, because the index stores none.
class claim_index {
public:
    /// The entry number that cannot be stored, because 0 marks an empty slot.
    static constexpr std::uint32_t reserved_number = 0xffff'ffff;

    using matcher = std::function<bool(std::uint32_t)>;
    using hasher = std::function<std::uint64_t(std::uint32_t)>;

    [[nodiscard]] std::optional<std::uint32_t> find(std::uint64_t hash, const matcher& same) const;
    /// The key must be absent. `hash_of` returns the hash of an entry that is already in the index.
    void insert(std::uint64_t hash, std::uint32_t number, const hasher& hash_of);
    void erase(std::uint64_t hash, std::uint32_t number, const hasher& hash_of);

    [[nodiscard]] std::size_t memory_bytes() const { return slots_.capacity() * sizeof slots_[0]; }

private:
    void resize(std::size_t size, const hasher& hash_of);
    void place(std::uint64_t hash, std::uint32_t number);
    [[nodiscard]] std::size_t next(std::size_t slot) const { return (slot + 1) & mask_; }

    std::vector<std::uint32_t> slots_; // entry number + 1; 0 is empty
    std::size_t mask_{0};
    std::size_t used_{0};
};

} // namespace wagtailhitch::detail
