// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/checker_p.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace larkrack
{
namespace
{
constexpr std::int64_t k_second_us = 1000000;
/// Requests that a window must hold to be judged.
constexpr double k_window_least = 50.0;
/// Deviations that chance alone may explain.
constexpr double k_sigmas = 4.0;
/// Shares move by this much between two events without being a step.
constexpr double k_share_slack = 1e-6;

struct run_line
{
	std::string backend;
	std::string id;
	std::string key;
	std::string service;
	std::int64_t start = 0;
	std::int64_t end = 0;
	int running = 0;
	int slots = 0;
};

std::string text(const nlohmann::json& _line, const char* _field)
{
	const auto it = _line.find(_field);
	return _line.end() != it && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t number(const nlohmann::json& _line, const char* _field)
{
	const auto it = _line.find(_field);
	return _line.end() != it && it->is_number() ? it->get<std::int64_t>() : 0;
}

/// Walks a history once for each promise.
class judge
{
public:
	judge(const std::vector<nlohmann::json>& _lines, const check_rules& _rules) : m_rules(_rules)
	{
		for (const nlohmann::json& line : _lines)
		{
			sort_in(line);
		}
	}

	check_report run()
	{
		check_runs();
		check_requests();
		check_regions();
		check_drains();
		check_caps();
		check_steps();
		check_configurations();
		return std::move(m_report);
	}

private:
	void sort_in(const nlohmann::json& _line)
	{
		const std::string type = text(_line, "type");
		if ("run" == type)
		{
			run_line one;
			one.backend = text(_line, "backend");
			one.id = text(_line, "id");
			one.key = text(_line, "key");
			one.start = number(_line, "start");
			one.end = number(_line, "end");
			one.running = static_cast<int>(number(_line, "running"));
			one.slots = static_cast<int>(number(_line, "slots"));
			one.service = one.backend.substr(0, one.backend.rfind('-'));
			m_runs.push_back(one);
		}
		else if ("request" == type)
		{
			m_requests.push_back(_line);
		}
		else if ("drain" == type || "undrain" == type)
		{
			m_drains.push_back(_line);
		}
		else if ("cut" == type || "uncut" == type)
		{
			m_cuts.push_back(_line);
		}
		else if (_line.contains("event"))
		{
			m_events.push_back(_line);
		}
	}

	void add(const std::string& _promise, const std::string& _what)
	{
		m_report.violations.push_back({_promise, _what});
	}

	void check_runs()
	{
		m_report.runs = m_runs.size();
		for (const run_line& one : m_runs)
		{
			if (one.slots < one.running)
			{
				add("over_slots", one.backend + " ran " + std::to_string(one.running) + " at once");
			}
			m_ran_ids.insert(one.id);
			if (one.key.empty())
			{
				continue;
			}
			++m_key_runs[one.key];
			const auto it = m_key_start.find(one.key);
			m_key_start[one.key] = m_key_start.end() == it ? one.start : std::min(it->second, one.start);
			if (2 == m_key_runs[one.key])
			{
				add("run_twice", one.key);
			}
		}
	}

	void check_requests()
	{
		for (const nlohmann::json& line : m_requests)
		{
			++m_report.tries;
			const std::string outcome = text(line, "outcome");
			if ("served" == outcome)
			{
				++m_report.served;
				check_served(line);
			}
			else if ("not_run" == outcome)
			{
				++m_report.not_run;
				check_refused(line);
			}
			else
			{
				++m_report.unknown;
			}
		}
	}

	void check_served(const nlohmann::json& _line)
	{
		const std::string id = text(_line, "id");
		const std::string key = text(_line, "key");
		if (!_line.value("whole", false))
		{
			add("cut", id);
		}
		if (!_line.value("own", false))
		{
			add("crossed", id);
		}
		const bool ran = key.empty() ? 0 < m_ran_ids.count(id) : 0 < m_key_runs.count(key);
		if (!ran)
		{
			add("phantom", key.empty() ? id : key);
		}
	}

	void check_refused(const nlohmann::json& _line)
	{
		const std::string id = text(_line, "id");
		const std::string key = text(_line, "key");
		if (!id.empty() && 0 < m_ran_ids.count(id))
		{
			add("false_refusal", id);
			return;
		}
		const auto it = m_key_start.find(key);
		const bool was_sent = _line.value("sent", true);
		if (!key.empty() && was_sent && m_key_start.end() != it && it->second < number(_line, "t1"))
		{
			add("false_refusal", key);
		}
	}

	void check_regions()
	{
		struct edge
		{
			std::int64_t at;
			int by;
		};
		std::map<std::string, std::vector<edge>> edges;
		for (const run_line& one : m_runs)
		{
			const auto region = m_rules.region_of_backend.find(one.backend);
			if (m_rules.region_of_backend.end() == region)
			{
				continue;
			}
			const std::string place = one.service + "/" + region->second;
			edges[place].push_back({one.start, 1});
			edges[place].push_back({std::max(one.end, one.start), -1});
		}
		for (auto& [place, list] : edges)
		{
			const auto slots = m_rules.slots_of_region.find(place);
			if (m_rules.slots_of_region.end() == slots)
			{
				continue;
			}
			std::sort(list.begin(), list.end(),
			    [](const edge& _a, const edge& _b)
			    {
				    return _a.at != _b.at ? _a.at < _b.at : _a.by < _b.by;
			    });
			int running = 0;
			int peak = 0;
			for (const edge& one : list)
			{
				running += one.by;
				peak = std::max(peak, running);
			}
			const std::string region = place.substr(place.find('/') + 1);
			const auto share = m_rules.max_share.find(region);
			const double allowed = slots->second * (m_rules.max_share.end() == share ? 1.0 : share->second);
			if (allowed + 1e-9 < peak)
			{
				add("over_region", place + " ran " + std::to_string(peak) + " of " + std::to_string(allowed));
			}
			m_report.headroom_min =
			    std::min(m_report.headroom_min, 1.0 - static_cast<double>(peak) / slots->second);
		}
	}

	void check_drains()
	{
		for (const nlohmann::json& order : m_drains)
		{
			if ("drain" != text(order, "type"))
			{
				continue;
			}
			const std::string target = text(order, "backend");
			const std::int64_t from = number(order, "t");
			std::int64_t until = INT64_MAX;
			for (const nlohmann::json& later : m_drains)
			{
				const bool ends = "undrain" == text(later, "type") && text(later, "backend") == target;
				until = ends && from < number(later, "t") ? std::min(until, number(later, "t")) : until;
			}
			m_report.last_new_work_s = std::max(0.0, m_report.last_new_work_s);
			for (const run_line& one : m_runs)
			{
				if (one.backend != target || one.start <= from || until <= one.start)
				{
					continue;
				}
				const double after = static_cast<double>(one.start - from) / k_second_us;
				m_report.last_new_work_s = std::max(m_report.last_new_work_s, after);
				if (from + m_rules.drain_grace_us < one.start)
				{
					add("late_work", target + " got work " + std::to_string(after) + " s after the order");
				}
			}
		}
	}

	/// Gain of a region: the part of a service's traffic that it ran in a window, less that in the window
	/// before. Traffic is all that callers sent, refused or not.
	void check_caps()
	{
		for (const auto& [service, rule] : m_rules.caps)
		{
			std::map<std::string, std::vector<std::int64_t>> ran;
			std::vector<std::int64_t> sent;
			for (const run_line& one : m_runs)
			{
				const auto region = m_rules.region_of_backend.find(one.backend);
				if (one.service == service && m_rules.region_of_backend.end() != region)
				{
					ran[region->second].push_back(one.start);
				}
			}
			for (const nlohmann::json& line : m_requests)
			{
				if (text(line, "service") == service)
				{
					sent.push_back(number(line, "t0"));
				}
			}
			std::sort(sent.begin(), sent.end());
			for (auto& [region, starts] : ran)
			{
				std::sort(starts.begin(), starts.end());
				check_windows(service + " in " + region, rule, sent, starts);
			}
		}
	}

	static double count_between(const std::vector<std::int64_t>& _times, std::int64_t _from, std::int64_t _to)
	{
		const auto first = std::lower_bound(_times.begin(), _times.end(), _from);
		const auto last = std::lower_bound(first, _times.end(), _to);
		return static_cast<double>(last - first);
	}

	void check_windows(const std::string& _what, const cap_rule& _rule,
	    const std::vector<std::int64_t>& _sent, const std::vector<std::int64_t>& _ran)
	{
		if (_sent.empty())
		{
			return;
		}
		const std::int64_t window = _rule.window_us;
		const std::int64_t step = std::max<std::int64_t>(1, window / 10);
		for (std::int64_t at = _sent.front() + window; at + window <= _sent.back(); at += step)
		{
			const double sent_before = count_between(_sent, at - window, at);
			const double sent_after = count_between(_sent, at, at + window);
			if (sent_before < k_window_least || sent_after < k_window_least)
			{
				continue;
			}
			const double p = std::min(1.0, count_between(_ran, at - window, at) / sent_before);
			const double q = std::min(1.0, count_between(_ran, at, at + window) / sent_after);
			const double noise = std::sqrt(p * (1 - p) / sent_before + q * (1 - q) / sent_after);
			m_report.max_gain_over_cap = std::max(m_report.max_gain_over_cap, (q - p) / _rule.cap);
			if (_rule.cap + k_sigmas * noise < q - p)
			{
				add("cap", _what + " gained " + std::to_string(q - p));
			}
		}
	}

	/// Recorded steps: exact, without noise.
	void check_steps()
	{
		std::map<std::string, std::vector<const nlohmann::json*>> by_service;
		for (const nlohmann::json& line : m_events)
		{
			const std::string name = text(line, "name");
			if (("shift_step" == name || "shift_done" == name) && line.contains("shares"))
			{
				by_service[text(line, "service")].push_back(&line);
			}
		}
		for (auto& [service, steps] : by_service)
		{
			const auto rule = m_rules.caps.find(service);
			if (m_rules.caps.end() == rule)
			{
				continue;
			}
			std::sort(steps.begin(), steps.end(),
			    [](const nlohmann::json* _a, const nlohmann::json* _b)
			    {
				    return number(*_a, "t_us") < number(*_b, "t_us");
			    });
			for (std::size_t late = 0; late < steps.size(); ++late)
			{
				for (std::size_t early = late; 0 < early; --early)
				{
					const nlohmann::json& before = *steps[early - 1];
					if (number(before, "t_us") + rule->second.window_us < number(*steps[late], "t_us"))
					{
						break;
					}
					compare_steps(service, rule->second, before, *steps[late]);
				}
			}
		}
	}

	void compare_steps(const std::string& _service, const cap_rule& _rule, const nlohmann::json& _before,
	    const nlohmann::json& _after)
	{
		for (const auto& [region, share] : _after["shares"].items())
		{
			const double gain = share.get<double>() - _before["shares"].value(region, 0.0);
			m_report.max_gain_over_cap = std::max(m_report.max_gain_over_cap, gain / _rule.cap);
			if (_rule.cap + k_share_slack < gain)
			{
				add("cap", _service + " step of " + region + " gained " + std::to_string(gain));
			}
		}
	}

	void check_configurations()
	{
		std::map<std::string, std::uint64_t> last; // node and life to revision
		std::map<std::string, std::vector<std::pair<std::int64_t, std::uint64_t>>> taken;
		std::map<std::string, std::int64_t> started;
		for (const nlohmann::json& line : m_events)
		{
			const std::string node = text(line, "node");
			const std::string name = text(line, "name");
			if ("node_started" == name)
			{
				last[node] = 0;
				started[node] = number(line, "t_us");
			}
			if ("config_taken" != name)
			{
				continue;
			}
			const auto revision = static_cast<std::uint64_t>(number(line, "revision"));
			if (revision < last[node])
			{
				add("reverted",
				    node + " went from " + std::to_string(last[node]) + " to " + std::to_string(revision));
			}
			last[node] = revision;
			taken[node].emplace_back(number(line, "t_us"), revision);
		}
		for (const nlohmann::json& line : m_events)
		{
			if ("config_written" == text(line, "name"))
			{
				check_in_force(number(line, "t_us"), static_cast<std::uint64_t>(number(line, "revision")),
				    taken, started);
			}
		}
	}

	/// Latest time at which a node must have a configuration: a node that is cut off has its time from then
	/// on when it is reached again.
	std::int64_t due_at(const std::string& _node, std::int64_t _written) const
	{
		std::int64_t due = _written + m_rules.config_spread_us;
		bool is_cut = false;
		for (const nlohmann::json& line : m_cuts)
		{
			if (text(line, "vm") != _node || due < number(line, "t"))
			{
				continue;
			}
			is_cut = "cut" == text(line, "type");
			due =
			    !is_cut && _written < number(line, "t") ? number(line, "t") + m_rules.config_spread_us : due;
		}
		return is_cut ? INT64_MAX : due;
	}

	void check_in_force(std::int64_t _at, std::uint64_t _revision,
	    const std::map<std::string, std::vector<std::pair<std::int64_t, std::uint64_t>>>& _taken,
	    const std::map<std::string, std::int64_t>& _started)
	{
		for (const auto& [node, began] : _started)
		{
			if (_at < began)
			{
				continue;
			}
			bool there = false;
			const auto it = _taken.find(node);
			for (std::size_t at = 0; _taken.end() != it && at < it->second.size(); ++at)
			{
				there = there ||
				        (_revision <= it->second[at].second && it->second[at].first <= due_at(node, _at));
			}
			if (!there)
			{
				add("not_in_force",
				    node + " did not take revision " + std::to_string(_revision) + " in time");
			}
		}
	}

	const check_rules& m_rules;
	check_report m_report;
	std::vector<run_line> m_runs;
	std::vector<nlohmann::json> m_requests;
	std::vector<nlohmann::json> m_drains;
	std::vector<nlohmann::json> m_cuts;
	std::vector<nlohmann::json> m_events;
	std::set<std::string> m_ran_ids;
	std::map<std::string, int> m_key_runs;
	std::map<std::string, std::int64_t> m_key_start;
};
} // namespace

std::size_t check_report::count(const std::string& _promise) const
{
	std::size_t sum = 0;
	for (const violation& one : violations)
	{
		sum += one.promise == _promise ? 1 : 0;
	}
	return sum;
}

check_rules rules_for(const deployment& _deployment, double _cap, double _window_s)
{
	check_rules rules;
	for (const auto& [backend, domain] : _deployment.domain_of_backend)
	{
		const std::string region = _deployment.region_of_backend(backend);
		const std::string service = backend.substr(0, backend.rfind('-'));
		rules.region_of_backend[backend] = region;
		for (const deployed_service& one : _deployment.services)
		{
			if (one.name == service)
			{
				rules.slots_of_region[service + "/" + region] += one.slots;
			}
		}
	}
	for (const deployed_service& service : _deployment.services)
	{
		rules.caps[service.name] = {_cap, static_cast<std::int64_t>(_window_s * k_second_us)};
	}
	return rules;
}

check_report check_history(const std::vector<nlohmann::json>& _lines, const check_rules& _rules)
{
	return judge(_lines, _rules).run();
}
} // namespace larkrack
