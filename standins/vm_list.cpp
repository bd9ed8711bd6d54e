#include "standins.hpp"

#include <stdexcept>

namespace wagtailhitch::standins {

namespace {

/// Publishes the list that POST /control sets after a configurable lag.
class vm_list_service {
public:
    vm_list_service(event_loop& loop, vm_list_settings settings) : loop_{loop}, settings_{settings}
    {
    }

    void handle(const http_request& request, const exchange_ptr& out) const
    {
        if (request.path != "/v1/vms") {
            out->reply(404, {{"error", "unknown_path"}});
            return;
        }
        out->reply(200, {{"vms", published_}});
    }

    void control(const json& change);

    [[nodiscard]] json state() const
    {
        return {{"lag_ms", settings_.lag.count()}, {"actual", actual_}, {"published", published_}};
    }

private:
    void set_vms(const json& vms);
    void set_state(const std::string& id, const json& to);
    void publish_later();

    event_loop& loop_;
    vm_list_settings settings_;
    json actual_ = json::array();
    json published_ = json::array();
};

void vm_list_service::set_vms(const json& vms)
{
    for (const json& it : vms) {
        const auto state = it.at("state").get<std::string>();
        const bool complete =
            it.contains("id") && it.contains("address") && it.contains("failure_domain");
        if (!complete || (state != "live" && state != "leaving")) {
            throw std::invalid_argument{
                "Each VM must have id, address, failure_domain and state (live "
                "or leaving)."};
        }
    }
    actual_ = vms;
}

void vm_list_service::set_state(const std::string& id, const json& to)
{
    for (json& it : actual_) {
        if (it.at("id") == id) {
            it["state"] = to;
            return;
        }
    }
    throw std::invalid_argument{"The list has no VM " + id + "."};
}

void vm_list_service::publish_later()
{
    if (settings_.lag.count() == 0) {
        published_ = actual_;
        return;
    }
    loop_.after(settings_.lag, [this, vms = actual_] { published_ = vms; });
}

void vm_list_service::control(const json& change)
{
    for (const auto& [key, value] : change.items()) {
        if (key == "vms") {
            set_vms(value);
            publish_later();
        }
        else if (key == "states") {
            for (const auto& [id, to] : value.items()) {
                set_state(id, to);
            }
            publish_later();
        }
        else if (key == "lag_ms") {
            settings_.lag = std::chrono::milliseconds{value.get<std::int64_t>()};
        }
        else {
            throw std::invalid_argument{"The VM list has no control named " + key + "."};
        }
    }
}

} // namespace

int run_vm_list(const listen_options& listen, const vm_list_settings& settings)
{
    event_loop loop;
    vm_list_service service{loop, settings};
    server_hooks hooks;
    hooks.handle = [&](const auto& request, const auto& out) { service.handle(request, out); };
    hooks.control = [&](const json& change) { service.control(change); };
    hooks.state = [&] { return service.state(); };
    return run_server(loop, listen, hooks);
}

} // namespace wagtailhitch::standins
