#pragma once

#include "net/http_client.hpp"
#include "proxy/request_flow.hpp"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <string>
#include <string_view>

// Maps the headers of proxied requests and answers, which differ between deployments, to and from
// internal values. The functions only translate; they make no decisions.

namespace wagtailhitch {

using request_head = boost::beast::http::request_header<>;

struct proxy_dialect {
    /// Reads the request's properties from its head; missing or unreadable values stay unset.
    std::function<proxied_request(const request_head&)> read_request;
    /// Adds the headers that this system sets for the replica.
    std::function<void(const request_flow&, const send_step&, detail::header_list&)> write_request;
    /// Headers of a caller's request that are never forwarded to a replica unchanged.
    std::function<bool(std::string_view name)> withheld;
    std::function<response_head(const detail::answer_head&, const proxied_request&)> read_head;
    /// Adds the headers of an answer that this VM generates.
    std::function<void(const proxied_request&, const error&, detail::header_list&)> write_refusal;
};

} // namespace wagtailhitch
