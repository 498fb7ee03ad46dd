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
/// Characters of a wrong value that a mistake shows.
constexpr std::size_t k_value_shown = 60;

/// Turns "<root>[a][b]" into "/a/b".
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

/// The library reports a mistake at each level above it; only the deepest is of use.
bool is_echo(const mistake& _mistake)
{
	constexpr const char* k_echoes[] = {"Failed to validate against schema associated with",
	    "Failed to validate against additional properties schema"};
	for (const char* echo : k_echoes)
	{
		if (std::string::npos != _mistake.allowed.find(echo))
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
	if (k_value_shown < text.size())
	{
		text = text.substr(0, k_value_shown) + "...";
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
	// Its result only says whether the list of errors is empty.
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
		if (!is_echo(one))
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
