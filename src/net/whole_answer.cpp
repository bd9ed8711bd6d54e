#include "net/whole_answer.hpp"

#include <memory>
#include <utility>

namespace wagtailhitch::detail {

http_call_ptr fetch_whole(http_client& client, http_call call, whole_answer_hook done)
{
    auto answer = std::make_shared<whole_answer>();
    http_hooks hooks;
    hooks.on_header = [answer](answer_head head) {
        answer->status = head.status;
        answer->headers = std::move(head.headers);
    };
    hooks.on_data = [answer](std::string_view bytes) { answer->body.append(bytes); };
    hooks.on_end = [answer, hook = std::move(done)](const call_failure* failure) {
        if (failure != nullptr) {
            answer->failure = *failure;
        }
        hook(*answer);
    };
    return client.start(std::move(call), std::move(hooks));
}

} // namespace wagtailhitch::detail
