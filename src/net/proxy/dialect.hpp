#pragma once

#include "net/http_client.hpp"
#include "proxy/request_flow.hpp"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <string>
#include <string_view>

// How the deployment spells what travels in the headers of proxied requests and answers. The
// functions translate; they decide nothing.

namespace wagtailhitch {

using request_head = boost::beast::http::request_header<>;

struct proxy_dialect {
    /// Fills what the head says of the request; missing or unreadable values stay unset.
    std::function<proxied_request(const request_head&)> read_request;
    /// Adds the headers that this system sets for the replica.
    std::function<void(const request_flow&, const send_step&, detail::header_list&)> write_request;
    /// Headers of a caller's request that never reach a replica as they came.
    std::function<bool(std::string_view name)> withheld;
    std::function<replica_head(const detail::answer_head&, const proxied_request&)> read_head;
    /// Headers of an answer that is made here.
    std::function<void(const proxied_request&, const error&, detail::header_list&)> write_refusal;
};

} // namespace wagtailhitch
