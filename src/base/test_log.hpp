#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

// A simulated log stream for tests, with the faults of the real one.
//
//   test_log log;
//   bool replied = log.append(data, append_outcome::reply_lost);   // false, and the record is
//   stored log.deliver_delayed();

namespace wagtailhitch {

/// delayed: the record is stored later, and the reply is lost.
enum class append_outcome : std::uint8_t { stored, reply_lost, lost, delayed };

class test_log {
public:
    /// Returns whether the caller gets a reply.
    bool append(std::string data, append_outcome outcome)
    {
        if (outcome == append_outcome::delayed) {
            delayed_.push_back(std::move(data));
        }
        else if (outcome != append_outcome::lost) {
            records_.push_back(std::move(data));
        }
        return outcome == append_outcome::stored;
    }

    void deliver_delayed()
    {
        for (auto& data : delayed_) {
            records_.push_back(std::move(data));
        }
        delayed_.clear();
    }

    [[nodiscard]] log_offset head() const { return records_.size(); }
    [[nodiscard]] const std::string& at(log_offset offset) const { return records_.at(offset); }

private:
    std::vector<std::string> records_;
    std::vector<std::string> delayed_;
};

} // namespace wagtailhitch
