#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>

// Session token, sent in the header Wagtailhitch-Session.
//
//   std::string text = issue_session_token(key, {team, "s-1", model, version, 812, wall_ms});
//   expected<session_token> token = verify_session_token(key, text);

namespace wagtailhitch {

/// Content of a token. VMs store no session state: all of it is in the token.
struct session_token {
    team_id team;
    std::string session; ///< id of the session
    model_id model;      ///< as requested by the caller, also if a replacement is of another model
    version_id version;  ///< version to which the session is pinned
    revision issued_at_revision{0}; ///< configuration revision of the issuing VM
    std::int64_t issued_ms{0};      ///< Unix milliseconds

    friend bool operator==(const session_token&, const session_token&) = default;
};

/// Longer texts are refused before decoding; this service does not issue such tokens.
inline constexpr std::size_t session_token_max_bytes = 2048;

/// Returns the header text, authenticated by HMAC-SHA256 with `key`.
std::string issue_session_token(std::string_view key, const session_token& token);

/// Errors: session_token_invalid (not_run) when the text is too long, malformed or not
/// authenticated by `key`.
expected<session_token> verify_session_token(std::string_view key, std::string_view text);

} // namespace wagtailhitch
