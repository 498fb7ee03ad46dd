// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// larkrack-trace: reads logs of many nodes, and prints the events of one request in order, or groups failed
/// requests by cause.
/// Owns: no state.
/// Relies on: log events 1901 and 1902 of larkrackd and larkrack-edge; base/events_p.h has the catalogue.

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

ABSL_FLAG(std::string, id, "", "Id of the request whose events are printed.");
ABSL_FLAG(bool, failed, false, "Groups failed requests by cause.");
ABSL_FLAG(int, context_ms, 2000,
    "Milliseconds before the request from which lines about the state of its node are printed too.");

namespace
{
constexpr int k_usage_error = 2;
constexpr int k_not_found = 1;
constexpr int k_event_request_ended = 1901;
constexpr int k_event_attempt_failed = 1902;

/// One log line.
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
			// A log collector may have added a prefix before the JSON object.
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

/// @returns Names of the backend servers in the log lines of a request.
std::vector<std::string> backends_in(const std::vector<const entry*>& _request_entries)
{
	std::vector<std::string> names;
	for (const entry* one : _request_entries)
	{
		const std::string backend = one->fields.value("backend", "");
		if (!backend.empty())
		{
			names.push_back(backend);
		}
	}
	return names;
}

/// @returns Whether a line describes the state of the node that may have affected the request: no event of a
/// request, and about no backend server other than those of the request.
bool is_state_event(const entry& _entry, const std::vector<std::string>& _names)
{
	if (k_event_request_ended == _entry.event || k_event_attempt_failed == _entry.event)
	{
		return false;
	}
	const std::string backend = _entry.fields.value("backend", "");
	return backend.empty() || _names.end() != std::find(_names.begin(), _names.end(), backend);
}

/// @returns Why a request was refused, by the decision of admission; empty if admission did not refuse it.
std::string refusal_of(const nlohmann::json& _end)
{
	const std::string why = _end.value("reason", "");
	const std::string where = " of " + _end.value("service", "") + " in " + _end.value("region", "");
	if ("shed_by_priority" == why)
	{
		return "refused: more urgent requests have the slots" + where + ", load level " +
		       _end.value("level", nlohmann::json(0)).dump();
	}
	if ("over_share" == why)
	{
		return "refused: its customer or failure domain is above its fair share of the slots" + where +
		       ", share " + _end.value("share", nlohmann::json(0)).dump();
	}
	if ("no_headroom" == why)
	{
		return 0 < _end.value("waited_ms", 0)
		           ? "refused: it waited in vain for one of the slots" + where
		           : "refused at once: a wait for one of the slots" + where + " would be in vain";
	}
	return "";
}

/// Prints why a request waited, was refused or went elsewhere. Only lines about admission by urgency tell it.
void print_reasons(const std::vector<const entry*>& _request_entries)
{
	for (const entry* one : _request_entries)
	{
		if (k_event_request_ended != one->event || !one->fields.contains("waited_ms"))
		{
			continue;
		}
		const std::string region = one->fields.value("region", "");
		if (0 != one->fields.value("return", 0))
		{
			std::printf("why: its caller returned after a refusal\n");
		}
		if (const int waited_ms = one->fields.value("waited_ms", 0); 0 < waited_ms)
		{
			std::printf("why: it waited %d ms, since no slot of %s was free\n", waited_ms,
			    one->fields.value("service", "").c_str());
		}
		if (one->fields.contains("planned"))
		{
			std::printf("why: it went to %s, since no slot was free in %s\n", region.c_str(),
			    one->fields.value("planned", "").c_str());
		}
		const std::string refusal = refusal_of(one->fields);
		if (!refusal.empty())
		{
			std::printf("why: %s\n", refusal.c_str());
		}
	}
}

/// Prints the events of a request, and state events of the node that completed it.
int print_request(const std::vector<entry>& _entries, const std::string& _id)
{
	std::vector<const entry*> request_entries;
	for (const entry& one : _entries)
	{
		if (one.fields.value("id", "") == _id)
		{
			request_entries.push_back(&one);
		}
	}
	if (request_entries.empty())
	{
		std::fprintf(
		    stderr, "larkrack-trace: no line names request %s; good outcomes are sampled\n", _id.c_str());
		return k_not_found;
	}
	const std::int64_t end_us = request_entries.back()->at_us;
	const std::int64_t took_us = request_entries.back()->fields.value("ms", std::int64_t{0}) * 1000;
	const std::int64_t origin_us = end_us - took_us;
	const std::int64_t from_us = origin_us - std::int64_t{absl::GetFlag(FLAGS_context_ms)} * 1000;
	const std::vector<std::string> names = backends_in(request_entries);
	std::printf(
	    "request %s, 0 is when node %s read it; clocks of nodes may differ, lines of one node are in order\n",
	    _id.c_str(), request_entries.back()->node.c_str());
	for (const entry& one : _entries)
	{
		const bool own = one.fields.value("id", "") == _id;
		const bool context =
		    one.node == request_entries.back()->node && one.at_us >= from_us && one.at_us <= end_us;
		if (own || (context && is_state_event(one, names)))
		{
			print(one, origin_us);
		}
	}
	print_reasons(request_entries);
	return 0;
}

int group_failures(const std::vector<entry>& _entries)
{
	struct group
	{
		int count = 0;
		std::string example;
	};
	std::map<std::string, std::string> last_failure; // Cause of the last failed attempt, by request id.
	std::map<std::string, group> groups;
	for (const entry& one : _entries)
	{
		const std::string id = one.fields.value("id", "");
		if (k_event_attempt_failed == one.event)
		{
			last_failure[id] = one.fields.value("why", "");
		}
		if (k_event_request_ended != one.event || "served" == one.fields.value("outcome", ""))
		{
			continue;
		}
		std::string cause = one.fields.value("outcome", "") + " " + one.fields.value("reason", "");
		const auto attempt = last_failure.find(id);
		cause += last_failure.end() == attempt ? "" : " after " + attempt->second;
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
	return id.empty() ? group_failures(entries) : print_request(entries, id);
}
