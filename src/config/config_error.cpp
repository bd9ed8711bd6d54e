#include "config/config_error.hpp"

namespace wagtailhitch {

std::string to_string(const config_error& e)
{
    std::string out = e.file + ": ";
    if (!e.path.empty()) {
        out += e.path + ": ";
    }
    return out + "found " + e.found + ", expected " + e.wanted;
}

std::string to_string(const config_errors& errors)
{
    std::string out;
    for (const auto& e : errors) {
        out += to_string(e) + "\n";
    }
    return out;
}

} // namespace wagtailhitch
