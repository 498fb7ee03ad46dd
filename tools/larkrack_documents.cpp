// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Commands of larkrack for files with resources or settings (diff and check), and the reading of such files.
#include "larkrack_p.h"

#include "larkrackd/policy_p.h"

#include <algorithm>
#include <dirent.h>
#include <iostream>
#include <map>
#include <unistd.h>

namespace larkrack
{
namespace
{
/// @returns Mistakes in a settings document.
std::vector<mistake> mistakes_of_settings(const nlohmann::json& _document)
{
	auto parsed = parse_settings(_document);
	auto* found = std::get_if<std::vector<mistake>>(&parsed);
	return nullptr == found ? std::vector<mistake>() : std::move(*found);
}

/// @returns Mistakes in a list of resources, validated as a complete configuration.
std::vector<mistake> mistakes_of_resources(const nlohmann::json& _resources)
{
	std::vector<mistake> mistakes;
	config_state state;
	state.rev = {1};
	for (const nlohmann::json& one : _resources)
	{
		const std::string kind = one.value("kind", "");
		if (nullptr == schema_resource(kind))
		{
			mistakes.push_back(
			    {"/" + kind + "/" + one.value("name", ""), "\"" + kind + "\"", "one of the resource kinds"});
		}
		state.resources[kind + "/" + one.value("name", "")] = {
		    one.value("spec", nlohmann::json::object()).dump(), {1}, ""};
	}
	auto built = build_policy(state);
	if (auto* found = std::get_if<std::vector<mistake>>(&built))
	{
		mistakes.insert(mistakes.end(), found->begin(), found->end());
	}
	return mistakes;
}

/// @returns The escape sequence if standard output is a terminal, or an empty string.
const char* colour(const char* _code)
{
	return 0 != isatty(STDOUT_FILENO) ? _code : "";
}

/// Adds the resources of one document, which is a list, an object with the field "resources", or one
/// resource.
void add_resources(const nlohmann::json& _document, nlohmann::json& _resources)
{
	const nlohmann::json list =
	    _document.is_object() && _document.contains("resources") ? _document["resources"] : _document;
	for (const nlohmann::json& one : list.is_array() ? list : nlohmann::json::array({list}))
	{
		_resources.push_back(one);
	}
}

/// @returns The path itself, or the JSON files of a folder, sorted by name.
std::vector<std::string> files_at(const std::string& _path)
{
	std::vector<std::string> files = {_path};
	if (DIR* folder = opendir(_path.c_str()))
	{
		files.clear();
		while (const dirent* entry = readdir(folder))
		{
			const std::string name = entry->d_name;
			if (5 < name.size() && ".json" == name.substr(name.size() - 5))
			{
				files.push_back(_path + "/" + name);
			}
		}
		closedir(folder);
		std::sort(files.begin(), files.end());
	}
	return files;
}
} // namespace

bool read_documents(const std::string& _path, nlohmann::json& _resources)
{
	if ("-" == _path)
	{
		const nlohmann::json document = nlohmann::json::parse(std::cin, nullptr, false);
		if (document.is_discarded())
		{
			std::cerr << "standard input is not JSON\n";
			return false;
		}
		add_resources(document, _resources);
		return true;
	}
	for (const std::string& file : files_at(_path))
	{
		result<nlohmann::json> read = read_json_file(file);
		if (const error* failure = std::get_if<error>(&read))
		{
			std::cerr << failure->message << "\n";
			return false;
		}
		add_resources(std::get<nlohmann::json>(read), _resources);
	}
	return true;
}

int run_diff(operators_client& _client)
{
	nlohmann::json resources = nlohmann::json::array();
	if (!read_documents(absl::GetFlag(FLAGS_f), resources))
	{
		return k_exit_usage;
	}
	int code = k_exit_ok;
	const auto answer = body_of(_client.call(http::verb::get, "/v1/resources/all"), code);
	if (!answer)
	{
		return code;
	}
	std::map<std::string, nlohmann::json> known;
	for (const nlohmann::json& one : (*answer)["items"])
	{
		known[one.value("kind", "") + "/" + one.value("name", "")] = one["spec"];
	}
	int changes = 0;
	for (const nlohmann::json& one : resources)
	{
		const std::string key = one.value("kind", "") + "/" + one.value("name", "");
		const nlohmann::json spec = one.value("spec", nlohmann::json::object());
		if (0 == known.count(key))
		{
			std::cout << colour("\033[32m") << "+ " << key << " " << spec.dump() << colour("\033[0m") << "\n";
			++changes;
		}
		else if (known[key] != spec)
		{
			std::cout << colour("\033[31m") << "- " << key << " " << known[key].dump() << colour("\033[0m")
			          << "\n"
			          << colour("\033[32m") << "+ " << key << " " << spec.dump() << colour("\033[0m") << "\n";
			++changes;
		}
	}
	std::cout << changes << " of " << resources.size() << " resources differ\n";
	return k_exit_ok;
}

int run_check(const std::string& _path)
{
	result<nlohmann::json> read = read_json_file(_path);
	if (const error* failure = std::get_if<error>(&read))
	{
		std::cerr << failure->message << "\n";
		return k_exit_usage;
	}
	const nlohmann::json& document = std::get<nlohmann::json>(read);
	std::vector<mistake> mistakes;
	if (document.is_object() && document.contains("listen"))
	{
		mistakes = mistakes_of_settings(document);
	}
	else
	{
		nlohmann::json resources = nlohmann::json::array();
		if (!read_documents(_path, resources))
		{
			return k_exit_usage;
		}
		mistakes = mistakes_of_resources(resources);
	}
	std::cout << to_string(mistakes);
	std::cout << _path << ": " << (mistakes.empty() ? "valid" : std::to_string(mistakes.size()) + " mistakes")
	          << "\n";
	return mistakes.empty() ? k_exit_ok : k_exit_invalid;
}
} // namespace larkrack
