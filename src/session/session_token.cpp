#include "session/session_token.hpp"

#include "base/msgpack.hpp"
#include "session/detail/authenticated_text.hpp"

namespace wagtailhitch {

namespace {

constexpr std::string_view purpose = "session";

error invalid_token()
{
    return error{error_code::session_token_invalid,
                 step::session,
                 {},
                 run_state::not_run,
                 "The session token was not issued by this service.",
                 {}};
}

} // namespace

std::string issue_session_token(std::string_view key, const session_token& token)
{
    const auto fields =
        nlohmann::json::array({token.team.value, token.session, token.model.value,
                               token.version.value, token.issued_at_revision, token.issued_ms});
    return detail::encode_authenticated(key, purpose, encode_msgpack(fields));
}

expected<session_token> verify_session_token(std::string_view key, std::string_view text)
{
    if (text.size() > session_token_max_bytes) {
        return tl::unexpected(invalid_token());
    }
    const auto payload = detail::decode_authenticated(key, purpose, text);
    if (!payload) {
        return tl::unexpected(invalid_token());
    }
    const auto fields = decode_msgpack(*payload, step::session, "session token");
    if (!fields) {
        return tl::unexpected(invalid_token());
    }
    field_reader in{*fields};
    session_token token;
    token.team = team_id{in.text()};
    token.session = in.text();
    token.model = model_id{in.text()};
    token.version = version_id{in.text()};
    token.issued_at_revision = in.number();
    token.issued_ms = in.integer();
    if (!in.complete()) {
        return tl::unexpected(invalid_token());
    }
    return token;
}

} // namespace wagtailhitch
