// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Checks JSON documents against JSON schemas and reports every mistake at once.
///
/// Owns: the schemas of larkrackd's settings and of all resource kinds (schema_tables.cpp).
/// Relies on: valijson. Used by both programs; larkrack-edge brings the schema of its own settings.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace larkrack
{
/// One mistake in a document.
struct mistake
{
	std::string path;    ///< Place in the document, as in "/listen/callers".
	std::string value;   ///< What stands there, shortened.
	std::string allowed; ///< What may stand there.
};

/// Checks a document.
/// @param[in] _schema JSON schema (draft 7).
/// @returns All mistakes; empty when the document is valid.
std::vector<mistake> check_schema(const nlohmann::json& _schema, const nlohmann::json& _document);
/// @returns The JSON object in a text, or an empty one when the text holds none.
nlohmann::json object_from_text(const std::string& _text);
/// @returns Text for people, one line for each mistake.
std::string to_string(const std::vector<mistake>& _mistakes);
/// @returns Value at a JSON pointer, shortened for a message; "(missing)" when there is none.
std::string value_at(const nlohmann::json& _document, const std::string& _path);

/// @returns Schema of the settings of larkrackd.
const nlohmann::json& schema_settings();
/// @returns Schema of the spec of a resource kind, or null when there is no such kind.
const nlohmann::json* schema_resource(const std::string& _kind);
/// @returns Names of all resource kinds.
std::vector<std::string> resource_kinds();
} // namespace larkrack
