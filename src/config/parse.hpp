#pragma once

#include "config/config_error.hpp"
#include "config/document.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

// Converts operators' files to a validated document, and a document to canonical JSON.
//
//   auto parsed = parse_files({{"models.json", text}, {"teams.json", other}});
//   if (!parsed) { std::cerr << to_string(parsed.error()); }
//   std::string digest = document_digest(*parsed);

namespace wagtailhitch {

struct config_file {
    std::string name;
    std::string text;
};

/// Merges the files and validates the merged document. A name that is defined twice, in one file or
/// in two, is an error.
checked<document> parse_files(const std::vector<config_file>& files);

/// Validates one merged JSON object. Errors show `source` as its file name.
checked<document> parse_document(const nlohmann::json& merged,
                                 const std::string& source = "document");

/// Returns canonical JSON: every field is present, a field's numbers always have the same JSON
/// type, and keys are sorted. Two documents are equal when their canonical texts are equal.
nlohmann::json to_json(const document& doc);

/// Returns the XXH3 128 hash of the canonical text as 32 hexadecimal digits.
std::string document_digest(const document& doc);

} // namespace wagtailhitch
