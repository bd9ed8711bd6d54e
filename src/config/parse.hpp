#pragma once

#include "config/config_error.hpp"
#include "config/document.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

// From operators' files to a checked document, and back to canonical JSON.
//
//   auto parsed = parse_files({{"models.json", text}, {"teams.json", other}});
//   if (!parsed) { std::cerr << to_string(parsed.error()); }
//   std::string digest = document_digest(*parsed);

namespace wagtailhitch {

struct config_file {
    std::string name;
    std::string text;
};

/// Merges the files and checks the result whole. A name that is defined twice, in one file or in
/// two, is an error.
checked<document> parse_files(const std::vector<config_file>& files);

/// Checks one merged JSON object. `source` names it in errors.
checked<document> parse_document(const nlohmann::json& merged,
                                 const std::string& source = "document");

/// Canonical JSON: every field is written, numbers of one field always have one kind, keys are
/// sorted. Two documents are equal when their canonical texts are.
nlohmann::json to_json(const document& doc);

/// XXH3 128 of the canonical text, as 32 hexadecimal digits.
std::string document_digest(const document& doc);

} // namespace wagtailhitch
