// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Commands of larkrack that show the state of the system: get, status, watch and explain.
#include "larkrack_p.h"

#include <cmath>
#include <cstdio>
#include <iostream>
#include <unistd.h>

namespace larkrack
{
namespace
{
/// Polls per second of the command watch. A higher rate shows changes sooner and costs requests to an entry
/// VM.
constexpr int k_watch_polls_per_second = 2;

std::string format_shares(const nlohmann::json& _shares)
{
	std::string text;
	for (const auto& [region, share] : _shares.items())
	{
		char part[96];
		std::snprintf(part, sizeof(part), "%s%s %.1f%%", text.empty() ? "" : ", ", region.c_str(),
		    100.0 * share.get<double>());
		text += part;
	}
	return text;
}

std::string bar(double _fraction)
{
	constexpr int k_width = 20;
	const int full = static_cast<int>(std::lround(_fraction * k_width));
	return "[" + std::string(static_cast<std::size_t>(full), '#') +
	       std::string(static_cast<std::size_t>(k_width - full), '.') + "]";
}

/// Prints the table of entry VMs.
void print_entry_vms(const nlohmann::json& _status)
{
	std::printf("\n%-20s %-16s %-10s %s\n", "ENTRY VM", "FAILURE DOMAIN", "STATE", "REVISION");
	for (const nlohmann::json& vm : _status["entry_vms"])
	{
		std::printf("%-20s %-16s %-10s %lu%s\n", vm.value("name", "").c_str(), vm.value("domain", "").c_str(),
		    vm.value("state", "").c_str(), vm.value("revision", 0UL),
		    vm.value("lags", false) ? " (lags)" : "");
	}
}

/// Prints the table of slots.
void print_slots(const nlohmann::json& _status)
{
	std::printf("\n%-16s %-16s %-12s %6s %7s %6s\n", "REGION", "FAILURE DOMAIN", "SERVICE", "SLOTS", "USABLE",
	    "IN USE");
	for (const nlohmann::json& room : _status["rooms"])
	{
		std::printf("%-16s %-16s %-12s %6d %7d %6d\n", room.value("region", "").c_str(),
		    room.value("domain", "").c_str(), room.value("service", "").c_str(), room.value("slots", 0),
		    room.value("usable", 0), room.value("running", 0));
	}
}

/// Prints the table of shifts.
void print_shifts(const nlohmann::json& _status)
{
	std::printf("\n%-12s %-8s %-9s %s\n", "SHIFT OF", "STATE", "WAITS FOR", "SHARES NOW -> GOAL");
	for (const nlohmann::json& shift : _status["shifts"])
	{
		std::printf("%-12s %-8s %-9s %s -> %s\n", shift.value("service", "").c_str(),
		    shift.value("state", "").c_str(), shift.value("waits_for", "").c_str(),
		    format_shares(shift["shares"]).c_str(), format_shares(shift["goal"]).c_str());
	}
}

/// @returns The shifts of a status, in the output format of watch.
std::string format_shifts(const nlohmann::json& _status)
{
	std::string text;
	for (const nlohmann::json& shift : _status["shifts"])
	{
		if (wants_json())
		{
			text += shift.dump() + "\n";
			continue;
		}
		for (const auto& [region, goal] : shift["goal"].items())
		{
			const double now = shift["shares"].value(region, 0.0);
			char line[200];
			std::snprintf(line, sizeof(line), "%-12s %-16s %s %5.1f%% -> %5.1f%%  %s%s%s\n",
			    shift.value("service", "").c_str(), region.c_str(), bar(now).c_str(), 100.0 * now,
			    100.0 * goal.get<double>(), shift.value("state", "").c_str(),
			    shift.value("waits_for", "").empty() ? "" : ", waits for ",
			    shift.value("waits_for", "").c_str());
			text += line;
		}
	}
	return text;
}
} // namespace

int run_get(operators_client& _client, const std::vector<std::string>& _arguments)
{
	std::string target = "/v1/resources/" + _arguments[0];
	target += 1 < _arguments.size() ? "/" + _arguments[1] : "";
	int code = k_exit_ok;
	const auto answer = body_of(_client.call(http::verb::get, target), code);
	if (!answer)
	{
		return code;
	}
	if (wants_json() || !answer->contains("items"))
	{
		std::cout << answer->dump(2) << "\n";
		return k_exit_ok;
	}
	for (const nlohmann::json& one : (*answer)["items"])
	{
		std::printf("%-16s %-24s %8lu  %s\n", one.value("kind", "").c_str(), one.value("name", "").c_str(),
		    one.value("revision", 0UL), one["spec"].dump().substr(0, 120).c_str());
	}
	return k_exit_ok;
}

int run_status(operators_client& _client)
{
	int code = k_exit_ok;
	const auto answer = body_of(_client.call(http::verb::get, "/v1/status"), code);
	if (!answer)
	{
		return code;
	}
	if (wants_json())
	{
		std::cout << answer->dump(2) << "\n";
		return k_exit_ok;
	}
	std::printf(
	    "seen by %s, revision %lu\n", answer->value("node", "").c_str(), answer->value("revision", 0UL));
	std::printf(
	    "degraded: %s\n", (*answer)["degraded"].empty() ? "no" : (*answer)["degraded"].dump().c_str());
	print_entry_vms(*answer);
	print_slots(*answer);
	print_shifts(*answer);
	return k_exit_ok;
}

int run_watch(operators_client& _client)
{
	const int seconds = absl::GetFlag(FLAGS_seconds);
	std::string last;
	for (int poll = 0; 0 == seconds || poll < seconds * k_watch_polls_per_second; ++poll)
	{
		int code = k_exit_ok;
		const auto answer = body_of(_client.call(http::verb::get, "/v1/status"), code);
		if (!answer)
		{
			return code;
		}
		const std::string text = format_shifts(*answer);
		if (text != last)
		{
			std::cout << text << std::endl;
			last = text;
		}
		usleep(1000000 / k_watch_polls_per_second);
	}
	return k_exit_ok;
}

int run_explain(operators_client& _client, const std::vector<std::string>& _arguments)
{
	int code = k_exit_ok;
	const auto answer = body_of(
	    _client.call(http::verb::get, "/v1/explain?service=" + _arguments[0] + "&caller=" + _arguments[1]),
	    code);
	if (!answer)
	{
		return code;
	}
	if (wants_json())
	{
		std::cout << answer->dump(2) << "\n";
		return k_exit_ok;
	}
	for (const nlohmann::json& step : (*answer)["steps"])
	{
		std::printf("%-14s %s", step.value("rule", "").c_str(), step.value("result", "").c_str());
		if (step.contains("parts"))
		{
			std::printf("   (%s; this caller's point is %.4f)", format_shares(step["parts"]).c_str(),
			    step.value("point", 0.0));
		}
		std::printf("\n");
	}
	for (const nlohmann::json& vm : (*answer)["entry_vms"])
	{
		std::printf("entry_vm       %-20s %-14s weight %.3f, %d of %d slots in use\n",
		    vm.value("entry_vm", "").c_str(), vm.value("domain", "").c_str(), vm.value("weight", 0.0),
		    vm.value("running", 0), vm.value("usable", 0));
	}
	return k_exit_ok;
}
} // namespace larkrack
