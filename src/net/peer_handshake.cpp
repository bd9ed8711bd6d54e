#include "net/peer_handshake.hpp"

#include "base/digest.hpp"
#include "net/json_guard.hpp"

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace wagtailhitch::detail {

using json = nlohmann::json;

namespace {

constexpr std::size_t nonce_bytes = 32;
constexpr std::size_t name_limit = 256;

json::binary_t to_binary(const std::string& raw)
{
    return json::binary_t{std::vector<std::uint8_t>{raw.begin(), raw.end()}};
}

std::string from_binary(const json& value)
{
    if (!value.is_binary()) {
        return {};
    }
    const auto& raw = value.get_binary();
    return {raw.begin(), raw.end()};
}

std::string pack(const json& value)
{
    std::string out;
    json::to_msgpack(value, nlohmann::detail::output_adapter<char>{out});
    return out;
}

json hello_message(const peer_identity& self, const std::string& nonce)
{
    return json::array({"hello", self.process.vm.value, self.process.run, self.failure_domain.value,
                        to_binary(nonce)});
}

bool is_hello_message(const json& value, std::size_t fields)
{
    const bool well_formed = value.is_array() && value.size() == fields && value[0] == "hello" &&
                             value[1].is_string() && value[2].is_number_unsigned() &&
                             value[3].is_string() && from_binary(value[4]).size() == nonce_bytes;
    return well_formed && !value[1].get_ref<const std::string&>().empty() &&
           value[1].get_ref<const std::string&>().size() <= name_limit &&
           value[3].get_ref<const std::string&>().size() <= name_limit;
}

tl::unexpected<error> rejected(const peer_identity& peer, std::string why)
{
    return tl::unexpected(error{error_code::peer_unavailable,
                                step::peer,
                                peer.process.vm.value,
                                run_state::not_run,
                                std::move(why),
                                {}});
}

/// Prefixes each part with its length, so that different lists of parts never yield the same text.
void append_part(std::string& out, std::string_view part)
{
    out.append(std::to_string(part.size())).append(":").append(part);
}

void append_identity(std::string& out, const peer_identity& it)
{
    append_part(out, it.process.vm.value);
    append_part(out, std::to_string(it.process.run));
    append_part(out, it.failure_domain.value);
}

} // namespace

std::string random_nonce()
{
    std::array<unsigned char, nonce_bytes> raw{};
    if (RAND_bytes(raw.data(), static_cast<int>(raw.size())) != 1) {
        throw std::runtime_error{"The system's random number generator failed."};
    }
    return {raw.begin(), raw.end()};
}

peer_handshake::peer_handshake(peer_role role, peer_identity self, std::string cluster_key,
                               std::string nonce, std::optional<vm_id> expected_vm)
    : role_{role}, self_{std::move(self)}, key_{std::move(cluster_key)}, nonce_{std::move(nonce)},
      expected_vm_{std::move(expected_vm)}
{
}

std::optional<std::string> peer_handshake::opening() const
{
    if (role_ == peer_role::server) {
        return std::nullopt;
    }
    return pack(hello_message(self_, nonce_));
}

std::string peer_handshake::proof_of(peer_role prover) const
{
    const bool client = role_ == peer_role::client;
    std::string text{"wagtailhitch peer "};
    append_part(text, prover == peer_role::client ? "client" : "server");
    append_part(text, client ? nonce_ : peer_nonce_);
    append_part(text, client ? peer_nonce_ : nonce_);
    append_identity(text, client ? self_ : peer_);
    append_identity(text, client ? peer_ : self_);
    return hmac_sha256(key_, text);
}

expected<std::optional<std::string>> peer_handshake::take(std::string_view content)
{
    const json value = parse_msgpack(content).value_or(json{});
    if (role_ == peer_role::server && hello_received_) {
        const bool proved = value.is_array() && value.size() == 2 && value[0] == "proof" &&
                            equal_constant_time(from_binary(value[1]), proof_of(peer_role::client));
        if (!proved) {
            return rejected(peer_, "The peer's proof of the cluster key is invalid.");
        }
        done_ = true;
        return std::nullopt;
    }
    const std::size_t fields = role_ == peer_role::server ? 5 : 6;
    if (hello_received_ || !is_hello_message(value, fields)) {
        return rejected(peer_, "The peer did not send a valid hello message.");
    }
    peer_.process = process_id{vm_id{value[1].get<std::string>()}, value[2].get<std::uint64_t>()};
    peer_.failure_domain = failure_domain_id{value[3].get<std::string>()};
    peer_nonce_ = from_binary(value[4]);
    hello_received_ = true;
    if (expected_vm_ && peer_.process.vm != *expected_vm_) {
        return rejected(peer_, "Expected VM " + expected_vm_->value + " at this address.");
    }
    if (role_ == peer_role::server) {
        json reply = hello_message(self_, nonce_);
        reply.push_back(to_binary(proof_of(peer_role::server)));
        return pack(reply);
    }
    if (!equal_constant_time(from_binary(value[5]), proof_of(peer_role::server))) {
        return rejected(peer_, "The peer's proof of the cluster key is invalid.");
    }
    done_ = true;
    return pack(json::array({"proof", to_binary(proof_of(peer_role::client))}));
}

} // namespace wagtailhitch::detail
