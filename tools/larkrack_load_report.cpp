// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Judges the histories of an experiment; summary and plots.

#include "larkrack_load_p.h"

#include <algorithm>
#include <cmath>
#include <dirent.h>
#include <fstream>

namespace larkrack
{
namespace
{
constexpr double k_us_in_ms = 1000.0;
constexpr double k_us_in_s = 1e6;
/// Served work counts as back at this part of its pace before.
constexpr double k_recovered = 0.9;

double percentile(std::vector<double>& _values, double _part)
{
	if (_values.empty())
	{
		return 0.0;
	}
	const auto at = static_cast<std::size_t>(std::lround(_part * static_cast<double>(_values.size() - 1)));
	std::nth_element(_values.begin(), _values.begin() + static_cast<std::ptrdiff_t>(at), _values.end());
	return _values[at];
}

double rounded(double _value)
{
	return std::round(_value * 1000.0) / 1000.0;
}

std::vector<nlohmann::json> node_logs(const std::string& _dir, std::int64_t _from_us)
{
	std::vector<nlohmann::json> lines;
	DIR* folder = opendir(_dir.c_str());
	while (nullptr != folder)
	{
		const dirent* entry = readdir(folder);
		if (nullptr == entry)
		{
			closedir(folder);
			break;
		}
		const std::string name = entry->d_name;
		if (name.size() < 5 || ".log" != name.substr(name.size() - 4))
		{
			continue;
		}
		for (nlohmann::json& line : read_history(_dir + "/" + name))
		{
			if (line.contains("t_us") && _from_us <= line["t_us"].get<std::int64_t>())
			{
				lines.push_back(std::move(line));
			}
		}
	}
	return lines;
}

/// Part of a service's slots that worked, on average over the experiment.
double busy_share(const std::vector<nlohmann::json>& _lines, const deployment& _deployment,
    const std::string& _service, std::int64_t _from, std::int64_t _to)
{
	double busy = 0.0;
	for (const nlohmann::json& line : _lines)
	{
		if ("run" != line.value("type", "") || 0 != line.value("backend", "").rfind(_service + "-", 0))
		{
			continue;
		}
		const std::int64_t start = std::max(_from, line["start"].get<std::int64_t>());
		const std::int64_t end = std::min(_to, line["end"].get<std::int64_t>());
		busy += static_cast<double>(std::max<std::int64_t>(0, end - start));
	}
	return busy / (static_cast<double>(_to - _from) * _deployment.slots_of(_service));
}

/// Seconds from the fault until served requests a second are back; null when there was no fault.
nlohmann::json recovery(const std::vector<nlohmann::json>& _lines, const load_bench& _bench)
{
	if (0 == _bench.marks.fault_us)
	{
		return nullptr;
	}
	constexpr std::int64_t k_bin_us = 250000;
	std::map<std::int64_t, double> bins;
	double before = 0.0;
	for (const nlohmann::json& line : _lines)
	{
		if ("request" != line.value("type", "") || "served" != line.value("outcome", ""))
		{
			continue;
		}
		const auto at = line["t1"].get<std::int64_t>();
		before += at < _bench.marks.fault_us && _bench.started_us + 1000000 < at ? 1.0 : 0.0;
		bins[(at - _bench.marks.fault_us) / k_bin_us] += _bench.marks.fault_us <= at ? 1.0 : 0.0;
	}
	const double span = static_cast<double>(_bench.marks.fault_us - _bench.started_us - 1000000) / k_bin_us;
	const double pace = before / std::max(1.0, span);
	const std::int64_t bins_to_end = (_bench.ended_us - _bench.marks.fault_us) / k_bin_us;
	// The last time that eight bins together were below the wanted part.
	std::int64_t back = 0;
	for (std::int64_t bin = 0; bin + 8 <= bins_to_end; ++bin)
	{
		double sum = 0.0;
		for (std::int64_t at = bin; at < bin + 8; ++at)
		{
			sum += bins[at];
		}
		back = sum < 8 * pace * k_recovered ? bin + 8 : back;
	}
	return rounded(static_cast<double>(back * k_bin_us) / k_us_in_s);
}

/// Seconds from a shift's order until its goal is in force.
nlohmann::json shift_seconds(const std::vector<nlohmann::json>& _lines, const load_bench& _bench)
{
	std::int64_t done = 0;
	for (const nlohmann::json& line : _lines)
	{
		const bool is_end =
		    "shift_done" == line.value("name", "") && _bench.interactive() == line.value("service", "");
		if (is_end && _bench.marks.shift_us < line["t_us"].get<std::int64_t>())
		{
			done = line["t_us"].get<std::int64_t>();
		}
	}
	if (0 == _bench.marks.shift_us || 0 == done)
	{
		return nullptr;
	}
	return rounded(static_cast<double>(done - _bench.marks.shift_us) / k_us_in_s);
}

nlohmann::json drain_seconds(const std::vector<nlohmann::json>& _lines, const load_bench& _bench)
{
	if (_bench.marks.drained.empty())
	{
		return nullptr;
	}
	std::int64_t last = _bench.marks.drain_us;
	for (const nlohmann::json& line : _lines)
	{
		const bool there =
		    "run" == line.value("type", "") && _bench.marks.drained == line.value("backend", "");
		if (there && line["start"].get<std::int64_t>() < _bench.marks.drain_us + 5000000)
		{
			last = std::max(last, line["end"].get<std::int64_t>());
		}
	}
	return rounded(static_cast<double>(last - _bench.marks.drain_us) / k_us_in_s);
}
} // namespace

nlohmann::json make_report(const load_bench& _bench, const deployment& _deployment,
    const load_options& _options, const std::string& _history_file)
{
	std::vector<nlohmann::json> lines = read_history(_history_file);
	for (nlohmann::json& line : read_history(_options.dir + "/runs.jsonl"))
	{
		if (_bench.started_us - 1000000 <= line["start"].get<std::int64_t>())
		{
			lines.push_back(std::move(line));
		}
	}
	std::vector<nlohmann::json> logs = node_logs(_options.dir, _bench.started_us);
	lines.insert(lines.end(), std::make_move_iterator(logs.begin()), std::make_move_iterator(logs.end()));
	const check_report verdict = check_history(lines, rules_for(_deployment, 0.1, 5.0));

	std::vector<double> served_ms;
	std::vector<double> refused_ms;
	double relayed = 0.0;
	std::map<std::string, int> reasons;
	for (const nlohmann::json& line : lines)
	{
		if ("request" != line.value("type", ""))
		{
			continue;
		}
		const double took =
		    static_cast<double>(line["t1"].get<std::int64_t>() - line["t0"].get<std::int64_t>()) / k_us_in_ms;
		const std::string outcome = line.value("outcome", "");
		if ("served" == outcome)
		{
			served_ms.push_back(took);
			relayed += std::string::npos != line.value("way", "").find(',') ? 1.0 : 0.0;
		}
		else
		{
			++reasons[outcome + ":" + line.value("reason", "")];
		}
		if ("not_run" == outcome)
		{
			refused_ms.push_back(took);
		}
	}
	std::map<std::string, int> promises;
	for (const violation& one : verdict.violations)
	{
		++promises[one.promise];
	}
	const double share =
	    busy_share(lines, _deployment, _bench.interactive(), _bench.started_us + 1000000, _bench.ended_us);
	const double files_share =
	    busy_share(lines, _deployment, _bench.files(), _bench.started_us + 1000000, _bench.ended_us);
	const bool drained = 0.0 <= verdict.last_new_work_s;
	const nlohmann::json last_work =
	    drained ? nlohmann::json(rounded(verdict.last_new_work_s)) : nlohmann::json();
	nlohmann::json summary = {{"experiment", _options.experiment}, {"deployment", _deployment.name},
	    {"chooser", _options.chooser}, {"seed", _options.seed}, {"requests", verdict.tries},
	    {"served", verdict.served}, {"not_run", verdict.not_run}, {"unknown", verdict.unknown},
	    {"violations", verdict.violations.size()}, {"over_slots", verdict.over_slots},
	    {"run_twice", verdict.run_twice}, {"p50_ms", rounded(percentile(served_ms, 0.5))},
	    {"p99_ms", rounded(percentile(served_ms, 0.99))},
	    {"refusal_p99_ms", rounded(percentile(refused_ms, 0.99))},
	    {"headroom_min", rounded(verdict.headroom_min)}, {"capacity_share", rounded(share)},
	    {"files_capacity_share", rounded(files_share)},
	    {"relay_share", rounded(served_ms.empty() ? 0.0 : relayed / static_cast<double>(served_ms.size()))},
	    {"max_gain_over_cap", rounded(verdict.max_gain_over_cap)}, {"last_new_work_s", last_work},
	    {"shift_s", shift_seconds(lines, _bench)}, {"drain_s", drain_seconds(lines, _bench)},
	    {"recovery_s", recovery(lines, _bench)}, {"reasons", reasons}, {"broken", promises}};
	if ("shift" == _options.experiment && summary["shift_s"].is_null())
	{
		summary["broken"]["shift_not_done"] = 1;
		summary["violations"] = summary["violations"].get<std::size_t>() + 1;
	}
	if (!_options.report.empty())
	{
		std::ofstream(_options.report + "/summary.json") << summary.dump(2) << "\n";
		std::ofstream broken(_options.report + "/violations.txt");
		for (const violation& one : verdict.violations)
		{
			broken << one.promise << ": " << one.what << "\n";
		}
		if (_options.plots)
		{
			write_plots(lines, _deployment, _bench.started_us, _bench.ended_us, _options.report);
		}
	}
	return summary;
}
} // namespace larkrack
