// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// larkrack-trace: reads logs of many nodes and tells one request's story, or groups failed requests by
/// cause.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

ABSL_FLAG(std::string, id, "", "Id of the request whose story is told.");
ABSL_FLAG(bool, failed, false, "Groups failed requests by cause.");
ABSL_FLAG(int, context_ms, 2000,
    "Lines of the same node about its beliefs are shown for so long before the request.");

namespace
{
constexpr int k_usage_error = 2;
constexpr int k_not_found = 1;
constexpr int k_event_request_ended = 1901;
constexpr int k_event_attempt_failed = 1902;

/// One line of a log.
struct entry
{
	std::int64_t at_us = 0;
	std::string node;
	int event = 0;
	nlohmann::json fields;
};

std::vector<entry> read_logs(const std::vector<char*>& _files)
{
	std::vector<entry> entries;
	for (const char* file : _files)
	{
		std::ifstream in(file);
		std::string line;
		while (std::getline(in, line))
		{
			// A collector may have put its own words before the object.
			const std::size_t begin = line.find('{');
			if (std::string::npos == begin)
			{
				continue;
			}
			nlohmann::json fields = nlohmann::json::parse(line.substr(begin), nullptr, false);
			if (!fields.is_object() || !fields.contains("event") || !fields["event"].is_number())
			{
				continue;
			}
			entries.push_back(
			    {fields.value("t_us", std::int64_t{0}), fields.value("node", ""), fields["event"], fields});
		}
	}
	std::stable_sort(entries.begin(), entries.end(),
	    [](const entry& _left, const entry& _right)
	    {
		    return _left.at_us < _right.at_us;
	    });
	return entries;
}

void print(const entry& _entry, std::int64_t _origin_us)
{
	std::string details;
	for (const auto& [name, value] : _entry.fields.items())
	{
		if ("t_us" != name && "node" != name && "event" != name && "name" != name && "id" != name)
		{
			details += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
		}
	}
	std::printf("%+10.1f ms  %-20s %-18s%s\n", static_cast<double>(_entry.at_us - _origin_us) / 1000.0,
	    _entry.node.c_str(), _entry.fields.value("name", "").c_str(), details.c_str());
}

/// @returns Backend servers and services that a request's lines name.
std::vector<std::string> names_in(const std::vector<const entry*>& _story)
{
	std::vector<std::string> names;
	for (const entry* one : _story)
	{
		const std::string backend = one->fields.value("backend", "");
		if (!backend.empty())
		{
			names.push_back(backend);
		}
	}
	return names;
}

bool is_belief(const entry& _entry, const std::vector<std::string>& _names)
{
	if (k_event_request_ended == _entry.event || k_event_attempt_failed == _entry.event)
	{
		return false;
	}
	const std::string backend = _entry.fields.value("backend", "");
	return backend.empty() || _names.end() != std::find(_names.begin(), _names.end(), backend);
}

int tell_story(const std::vector<entry>& _entries, const std::string& _id)
{
	std::vector<const entry*> story;
	for (const entry& one : _entries)
	{
		if (one.fields.value("id", "") == _id)
		{
			story.push_back(&one);
		}
	}
	if (story.empty())
	{
		std::fprintf(
		    stderr, "larkrack-trace: no line names request %s; good outcomes are sampled\n", _id.c_str());
		return k_not_found;
	}
	const std::int64_t end_us = story.back()->at_us;
	const std::int64_t took_us = story.back()->fields.value("ms", std::int64_t{0}) * 1000;
	const std::int64_t origin_us = end_us - took_us;
	const std::int64_t from_us = origin_us - std::int64_t{absl::GetFlag(FLAGS_context_ms)} * 1000;
	const std::vector<std::string> names = names_in(story);
	std::printf(
	    "request %s, 0 is when node %s read it; clocks of nodes may differ, lines of one node are in order\n",
	    _id.c_str(), story.back()->node.c_str());
	for (const entry& one : _entries)
	{
		const bool own = one.fields.value("id", "") == _id;
		const bool context = one.node == story.back()->node && one.at_us >= from_us && one.at_us <= end_us;
		if (own || (context && is_belief(one, names)))
		{
			print(one, origin_us);
		}
	}
	return 0;
}

int group_failures(const std::vector<entry>& _entries)
{
	struct group
	{
		int count = 0;
		std::string example;
	};
	std::map<std::string, std::string> last_attempt; // By request.
	std::map<std::string, group> groups;
	for (const entry& one : _entries)
	{
		const std::string id = one.fields.value("id", "");
		if (k_event_attempt_failed == one.event)
		{
			last_attempt[id] = one.fields.value("why", "");
		}
		if (k_event_request_ended != one.event || "served" == one.fields.value("outcome", ""))
		{
			continue;
		}
		std::string cause = one.fields.value("outcome", "") + " " + one.fields.value("reason", "");
		const auto attempt = last_attempt.find(id);
		cause += last_attempt.end() == attempt ? "" : " after " + attempt->second;
		cause += " service " + one.fields.value("service", "");
		group& same = groups[cause];
		++same.count;
		same.example = id;
	}
	for (const auto& [cause, one] : groups)
	{
		std::printf("%7d  %s  (such as %s)\n", one.count, cause.c_str(), one.example.c_str());
	}
	return 0;
}
} // namespace

int main(int _count, char** _arguments)
{
	absl::SetProgramUsageMessage("larkrack-trace --id=REQUEST FILE...  or  larkrack-trace --failed FILE...");
	std::vector<char*> files = absl::ParseCommandLine(_count, _arguments);
	files.erase(files.begin());
	const std::string id = absl::GetFlag(FLAGS_id);
	if (files.empty() || id.empty() != absl::GetFlag(FLAGS_failed))
	{
		std::fprintf(stderr, "larkrack-trace: give --id=REQUEST or --failed, and log files\n");
		return k_usage_error;
	}
	const std::vector<entry> entries = read_logs(files);
	return id.empty() ? group_failures(entries) : tell_story(entries, id);
}
