// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Validates JSON documents against JSON schemas and reports all mistakes of a document together.
///
/// Owns: the schemas of larkrackd's settings and of all resource kinds (schema_tables.cpp).
/// Relies on: valijson. Both larkrackd and larkrack-edge use it; larkrack-edge has its own settings schema.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace larkrack
{
/// One mistake in a document.
struct mistake
{
	std::string path;    ///< JSON pointer, such as "/listen/callers".
	std::string value;   ///< Value in the document, shortened.
	std::string allowed; ///< Description of the valid values.
};

/// Validates a document.
/// @param[in] _schema JSON schema (draft 7).
/// @returns All mistakes; empty when the document is valid.
std::vector<mistake> check_schema(const nlohmann::json& _schema, const nlohmann::json& _document);
/// @returns The JSON object that a string holds, or an empty object when the string is not a JSON object.
nlohmann::json object_from_text(const std::string& _text);
/// @returns Human-readable text with one line for each mistake.
std::string to_string(const std::vector<mistake>& _mistakes);
/// @returns The value at a JSON pointer, shortened for a message; "(missing)" when the document has no such
/// value.
std::string value_at(const nlohmann::json& _document, const std::string& _path);

/// @returns Schema of the settings of larkrackd.
const nlohmann::json& schema_settings();
/// @returns Schema for the `spec` of a resource kind, or null when the kind does not exist.
const nlohmann::json* schema_resource(const std::string& _kind);
/// @returns Names of all resource kinds.
std::vector<std::string> resource_kinds();
} // namespace larkrack
