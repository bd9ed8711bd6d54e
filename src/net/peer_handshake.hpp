#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <optional>
#include <string>
#include <string_view>

// Mutual authentication of two VMs with the cluster key, as the first frames of a connection.
//
//   client -> server   ["hello", vm, incarnation, domain, nonce]
//   server -> client   ["hello", vm, incarnation, domain, nonce, proof]
//   client -> server   ["proof", proof]
//
// A proof is the HMAC-SHA256 of the prover's role, both nonces and both identities, so that it
// cannot be replayed on another connection or in the other direction.
//
//   peer_handshake handshake{peer_role::client, self, key, random_nonce(), expected};
//   send(*handshake.opening());
//   auto reply = handshake.take(content);   // error, a reply to send, or nothing to send

namespace wagtailhitch::detail {

enum class peer_role { client, server };

struct peer_identity {
    process_id process;
    failure_domain_id failure_domain;

    friend bool operator==(const peer_identity&, const peer_identity&) = default;
};

/// 32 bytes from OpenSSL's random number generator.
std::string random_nonce();

class peer_handshake {
public:
    /// `expected_vm` is the VM that the client wants to reach; a server accepts any.
    peer_handshake(peer_role role, peer_identity self, std::string cluster_key, std::string nonce,
                   std::optional<vm_id> expected_vm);

    /// The first message of a client; nullopt for a server.
    [[nodiscard]] std::optional<std::string> opening() const;
    /// Errors: peer_unavailable when the other side sends a malformed message, is another VM
    /// than expected or has another key.
    expected<std::optional<std::string>> take(std::string_view content);
    /// True once the other side has proved that it holds the key.
    [[nodiscard]] bool done() const { return done_; }
    [[nodiscard]] const peer_identity& peer() const { return peer_; }

private:
    [[nodiscard]] std::string proof_of(peer_role prover) const;

    peer_role role_;
    peer_identity self_;
    std::string key_;
    std::string nonce_;
    std::optional<vm_id> expected_vm_;
    peer_identity peer_;
    std::string peer_nonce_;
    bool hello_received_{false};
    bool done_{false};
};

} // namespace wagtailhitch::detail
