#include "billing/bill.hpp"

#include "base/msgpack.hpp"

#include <cmath>

namespace wagtailhitch {

namespace {

using nlohmann::json;

constexpr double tokens_per_price = 1000.0;
constexpr double micro_per_unit = 1e6;

expected<bill_line> read_line(const json& fields)
{
    field_reader in{fields};
    bill_line line;
    line.version = version_id{in.text()};
    line.upstream = upstream_id{in.text()};
    line.prompt_tokens = in.number();
    line.generated_tokens = in.number();
    line.cost = in.integer();
    if (!in.complete()) {
        return tl::unexpected(malformed(step::bill, "bill"));
    }
    return line;
}

} // namespace

micro_cost attempt_cost(double per_1k_input, double per_1k_output, std::uint64_t prompt_tokens,
                        std::uint64_t generated_tokens)
{
    const double units = per_1k_input * static_cast<double>(prompt_tokens) / tokens_per_price +
                         per_1k_output * static_cast<double>(generated_tokens) / tokens_per_price;
    return std::llround(units * micro_per_unit);
}

micro_cost total_cost(const bill& subject)
{
    micro_cost total = 0;
    for (const auto& line : subject.lines) {
        total += line.cost;
    }
    return total;
}

std::string encode_bill(const bill& subject)
{
    auto lines = json::array();
    for (const auto& line : subject.lines) {
        lines.push_back(json::array({line.version.value, line.upstream.value, line.prompt_tokens,
                                     line.generated_tokens, line.cost}));
    }
    auto out = encode_msgpack(json::array(
        {subject.request.vm.value, subject.request.run, subject.request.sequence,
         subject.team.value, static_cast<std::uint64_t>(subject.outcome), std::move(lines)}));
    // String growth can leave up to half of the capacity unused, and the buffer may hold 100,000
    // bills.
    out.shrink_to_fit();
    return out;
}

expected<bill> decode_bill(std::string_view data)
{
    const auto value = decode_msgpack(data, step::bill, "bill");
    if (!value) {
        return tl::unexpected(value.error());
    }
    field_reader in{*value};
    bill subject;
    subject.request.vm = vm_id{in.text()};
    subject.request.run = in.number();
    subject.request.sequence = in.number();
    subject.team = team_id{in.text()};
    const auto outcome = in.number();
    const auto& lines = in.array();
    if (!in.complete() || outcome > static_cast<std::uint64_t>(bill_outcome::cancelled)) {
        return tl::unexpected(malformed(step::bill, "bill"));
    }
    subject.outcome = static_cast<bill_outcome>(outcome);
    for (const auto& fields : lines) {
        auto line = read_line(fields);
        if (!line) {
            return tl::unexpected(line.error());
        }
        subject.lines.push_back(std::move(*line));
    }
    return subject;
}

std::string encode_bill_batch(const std::vector<std::string>& encoded_bills)
{
    auto bills = json::array();
    for (const auto& data : encoded_bills) {
        bills.push_back(data);
    }
    return encode_msgpack(bills);
}

expected<std::vector<std::string>> split_bill_batch(std::string_view data)
{
    const auto value = decode_msgpack(data, step::bill, "bill batch");
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (!value->is_array()) {
        return tl::unexpected(malformed(step::bill, "bill batch"));
    }
    field_reader in{*value};
    std::vector<std::string> bills;
    for (std::size_t n = value->size(); n > 0; --n) {
        bills.push_back(in.text());
    }
    if (!in.complete()) {
        return tl::unexpected(malformed(step::bill, "bill batch"));
    }
    return bills;
}

expected<std::vector<bill>> decode_bill_batch(std::string_view data)
{
    const auto encoded = split_bill_batch(data);
    if (!encoded) {
        return tl::unexpected(encoded.error());
    }
    std::vector<bill> bills;
    for (const auto& one : *encoded) {
        auto read = decode_bill(one);
        if (!read) {
            return tl::unexpected(read.error());
        }
        bills.push_back(std::move(*read));
    }
    return bills;
}

} // namespace wagtailhitch
