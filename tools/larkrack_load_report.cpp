// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Report of larkrack-load: checks the histories of an experiment and writes the summary.

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
/// Runs that started earlier than this time before the load are excluded.
constexpr std::int64_t k_run_margin_us = 1000000;
/// Cap of a region's gain and its window, as configured in both example deployments for all services.
constexpr double k_cap = 0.1;
constexpr double k_cap_window_s = 5.0;

double percentile(std::vector<double>& _values, double _quantile)
{
	if (_values.empty())
	{
		return 0.0;
	}
	const auto at =
	    static_cast<std::size_t>(std::lround(_quantile * static_cast<double>(_values.size() - 1)));
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

/// @returns Seconds from the order of a shift until its goal is in force; null when there was no shift, or it
/// did not finish.
nlohmann::json shift_seconds(const std::vector<nlohmann::json>& _lines, const load_bench& _bench)
{
	std::int64_t done = 0;
	for (const nlohmann::json& line : _lines)
	{
		const bool is_end =
		    "shift_done" == line.value("name", "") && _bench.interactive() == line.value("service", "");
		if (is_end && _bench.shift_us < line["t_us"].get<std::int64_t>())
		{
			done = line["t_us"].get<std::int64_t>();
		}
	}
	if (0 == _bench.shift_us || 0 == done)
	{
		return nullptr;
	}
	return rounded(static_cast<double>(done - _bench.shift_us) / k_us_in_s);
}

} // namespace

nlohmann::json make_report(const load_bench& _bench, const load_options& _options)
{
	std::vector<nlohmann::json> lines = read_history(_options.report + "/callers.jsonl");
	for (nlohmann::json& line : read_history(_options.dir + "/runs.jsonl"))
	{
		if (_bench.started_us - k_run_margin_us <= line["start"].get<std::int64_t>())
		{
			lines.push_back(std::move(line));
		}
	}
	std::vector<nlohmann::json> logs = node_logs(_options.dir, _bench.started_us);
	lines.insert(lines.end(), std::make_move_iterator(logs.begin()), std::make_move_iterator(logs.end()));
	const check_report report = check_history(lines, rules_for(_bench.deployed(), k_cap, k_cap_window_s));

	std::vector<double> served_ms;
	double relayed = 0.0;
	std::map<std::string, int> reasons;
	for (const nlohmann::json& line : lines)
	{
		if ("request" != line.value("type", ""))
		{
			continue;
		}
		const std::string outcome = line.value("outcome", "");
		if ("served" != outcome)
		{
			++reasons[outcome + ":" + line.value("reason", "")];
			continue;
		}
		const std::int64_t took_us = line["t1"].get<std::int64_t>() - line["t0"].get<std::int64_t>();
		served_ms.push_back(static_cast<double>(took_us) / k_us_in_ms);
		// The response to a relayed request names two entry VMs.
		relayed += std::string::npos != line.value("way", "").find(',') ? 1.0 : 0.0;
	}
	std::map<std::string, int> violations_by_guarantee;
	for (const violation& one : report.violations)
	{
		++violations_by_guarantee[one.guarantee];
	}
	const nlohmann::json shifted = shift_seconds(lines, _bench);
	std::size_t violations = report.violations.size();
	if ("shift" == _options.experiment && shifted.is_null())
	{
		violations_by_guarantee["shift_not_done"] = 1;
		++violations;
	}
	const bool drained = 0.0 <= report.last_new_work_s;
	const nlohmann::json last_work =
	    drained ? nlohmann::json(rounded(report.last_new_work_s)) : nlohmann::json();
	nlohmann::json summary = {{"experiment", _options.experiment}, {"deployment", _bench.deployed().name},
	    {"seed", _options.seed}, {"requests", report.tries}, {"served", report.served},
	    {"not_run", report.not_run}, {"unknown", report.unknown}, {"violations", violations},
	    {"p50_ms", rounded(percentile(served_ms, 0.5))}, {"p99_ms", rounded(percentile(served_ms, 0.99))},
	    {"headroom_min", rounded(report.headroom_min)},
	    {"relay_share", rounded(served_ms.empty() ? 0.0 : relayed / static_cast<double>(served_ms.size()))},
	    {"max_gain_over_cap", rounded(report.max_gain_over_cap)}, {"last_new_work_s", last_work},
	    {"shift_s", shifted}, {"reasons", reasons}, {"broken", violations_by_guarantee}};
	std::ofstream(_options.report + "/summary.json") << summary.dump(2) << "\n";
	std::ofstream violations_file(_options.report + "/violations.txt");
	for (const violation& one : report.violations)
	{
		violations_file << one.guarantee << ": " << one.what << "\n";
	}
	return summary;
}
} // namespace larkrack
