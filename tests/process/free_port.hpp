#pragma once

#include <cstdint>

// A TCP and UDP port of 127.0.0.1 for a program that a test starts.

namespace wagtailhitch::testing {

/// Each call in a process returns another port. The ports lie below those that the system gives to
/// outgoing connections, so that a program can be restarted on its port. Throws std::runtime_error
/// when none is free.
std::uint16_t free_port();

} // namespace wagtailhitch::testing
