// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/schema_p.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>

namespace larkrack
{
namespace
{
/// Maximum length of a value in a mistake; longer values are truncated.
constexpr std::size_t k_max_shown_value = 60;

/// Converts a path of valijson to a JSON pointer: "<root>[a][b]" to "/a/b".
std::string pointer_of(const std::string& _context)
{
	std::string path;
	std::size_t at = _context.find('[');
	while (std::string::npos != at)
	{
		const std::size_t end = _context.find(']', at);
		path += "/" + _context.substr(at + 1, end - at - 1);
		at = _context.find('[', end);
	}
	return path;
}

/// valijson reports an error again for each enclosing object; only the innermost report is useful.
/// @returns Whether a mistake is such a repetition for an enclosing object.
bool is_enclosing_error(const mistake& _mistake)
{
	constexpr const char* k_descriptions[] = {"Failed to validate against schema associated with",
	    "Failed to validate against additional properties schema"};
	for (const char* description : k_descriptions)
	{
		if (std::string::npos != _mistake.allowed.find(description))
		{
			return true;
		}
	}
	return false;
}
} // namespace

std::string value_at(const nlohmann::json& _document, const std::string& _path)
{
	const nlohmann::json::json_pointer pointer(_path);
	if (!_document.contains(pointer))
	{
		return "(missing)";
	}
	std::string text = _document.at(pointer).dump();
	if (k_max_shown_value < text.size())
	{
		text = text.substr(0, k_max_shown_value) + "...";
	}
	return text;
}

std::vector<mistake> check_schema(const nlohmann::json& _schema, const nlohmann::json& _document)
{
	valijson::Schema schema;
	valijson::SchemaParser parser;
	parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(_schema), schema);
	valijson::Validator validator;
	valijson::ValidationResults results;
	// The returned bool is redundant: it only tells whether `results` is empty.
	validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(_document), &results);

	std::vector<mistake> mistakes;
	valijson::ValidationResults::Error found;
	while (results.popError(found))
	{
		mistake one;
		std::string context;
		for (const std::string& part : found.context)
		{
			context += part;
		}
		one.path = pointer_of(context);
		one.value = value_at(_document, one.path);
		one.allowed = found.description;
		if (!is_enclosing_error(one))
		{
			mistakes.push_back(one);
		}
	}
	return mistakes;
}

nlohmann::json object_from_text(const std::string& _text)
{
	nlohmann::json document = nlohmann::json::parse(_text, nullptr, false);
	if (!document.is_object())
	{
		return nlohmann::json::object();
	}
	return document;
}

std::string to_string(const std::vector<mistake>& _mistakes)
{
	std::string text;
	for (const mistake& one : _mistakes)
	{
		text += (one.path.empty() ? "/" : one.path) + ": " + one.value + ": " + one.allowed + "\n";
	}
	return text;
}
} // namespace larkrack
