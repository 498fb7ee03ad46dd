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
/// Minimum number of requests in a window; windows with fewer are not checked.
constexpr double k_min_window_requests = 50.0;
/// Number of standard deviations that are attributed to noise.
constexpr double k_noise_sigmas = 4.0;
/// Rounding tolerance when comparing two shares.
constexpr double k_share_slack = 1e-6;

/// Line of a backend server: one run of a request. Times in microseconds since 1970.
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

std::string text_field(const nlohmann::json& _line, const char* _field)
{
	const auto it = _line.find(_field);
	return _line.end() != it && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t number_field(const nlohmann::json& _line, const char* _field)
{
	const auto it = _line.find(_field);
	return _line.end() != it && it->is_number() ? it->get<std::int64_t>() : 0;
}

/// Checks a history with one pass for each guarantee.
class history_checker
{
public:
	history_checker(const std::vector<nlohmann::json>& _lines, const check_rules& _rules) : m_rules(_rules)
	{
		for (const nlohmann::json& line : _lines)
		{
			classify(line);
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
	void classify(const nlohmann::json& _line)
	{
		const std::string type = text_field(_line, "type");
		if ("run" == type)
		{
			run_line one;
			one.backend = text_field(_line, "backend");
			one.id = text_field(_line, "id");
			one.key = text_field(_line, "key");
			one.start = number_field(_line, "start");
			one.end = number_field(_line, "end");
			one.running = static_cast<int>(number_field(_line, "running"));
			one.slots = static_cast<int>(number_field(_line, "slots"));
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

	void add_violation(const std::string& _guarantee, const std::string& _what)
	{
		m_report.violations.push_back({_guarantee, _what});
	}

	void check_runs()
	{
		m_report.runs = m_runs.size();
		for (const run_line& one : m_runs)
		{
			if (one.slots < one.running)
			{
				add_violation("over_slots", one.backend + " ran " + std::to_string(one.running) + " at once");
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
				add_violation("run_twice", one.key);
			}
		}
	}

	void check_requests()
	{
		for (const nlohmann::json& line : m_requests)
		{
			++m_report.tries;
			const std::string outcome = text_field(line, "outcome");
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
		const std::string id = text_field(_line, "id");
		const std::string key = text_field(_line, "key");
		if (!_line.value("whole", false))
		{
			add_violation("cut", id);
		}
		if (!_line.value("own", false))
		{
			add_violation("crossed", id);
		}
		const bool ran = key.empty() ? 0 < m_ran_ids.count(id) : 0 < m_key_runs.count(key);
		if (!ran)
		{
			add_violation("phantom", key.empty() ? id : key);
		}
	}

	void check_refused(const nlohmann::json& _line)
	{
		const std::string id = text_field(_line, "id");
		const std::string key = text_field(_line, "key");
		if (!id.empty() && 0 < m_ran_ids.count(id))
		{
			add_violation("false_refusal", id);
			return;
		}
		const auto it = m_key_start.find(key);
		const bool was_sent = _line.value("sent", true);
		if (!key.empty() && was_sent && m_key_start.end() != it && it->second < number_field(_line, "t1"))
		{
			add_violation("false_refusal", key);
		}
	}

	void check_regions()
	{
		/// Start (+1) or end (-1) of a run.
		struct run_boundary
		{
			std::int64_t at;
			int by;
		};
		std::map<std::string, std::vector<run_boundary>> boundaries;
		for (const run_line& one : m_runs)
		{
			const auto region = m_rules.region_of_backend.find(one.backend);
			if (m_rules.region_of_backend.end() == region)
			{
				continue;
			}
			const std::string place = one.service + "/" + region->second;
			boundaries[place].push_back({one.start, 1});
			boundaries[place].push_back({std::max(one.end, one.start), -1});
		}
		for (auto& [place, list] : boundaries)
		{
			const auto slots = m_rules.slots_of_region.find(place);
			if (m_rules.slots_of_region.end() == slots)
			{
				continue;
			}
			std::sort(list.begin(), list.end(),
			    [](const run_boundary& _a, const run_boundary& _b)
			    {
				    return _a.at != _b.at ? _a.at < _b.at : _a.by < _b.by;
			    });
			int running = 0;
			int peak = 0;
			for (const run_boundary& one : list)
			{
				running += one.by;
				peak = std::max(peak, running);
			}
			const std::string region = place.substr(place.find('/') + 1);
			const auto share = m_rules.max_share.find(region);
			const double allowed = slots->second * (m_rules.max_share.end() == share ? 1.0 : share->second);
			if (allowed + 1e-9 < peak)
			{
				add_violation(
				    "over_region", place + " ran " + std::to_string(peak) + " of " + std::to_string(allowed));
			}
			m_report.headroom_min =
			    std::min(m_report.headroom_min, 1.0 - static_cast<double>(peak) / slots->second);
		}
	}

	void check_drains()
	{
		for (const nlohmann::json& order : m_drains)
		{
			if ("drain" != text_field(order, "type"))
			{
				continue;
			}
			const std::string target = text_field(order, "backend");
			const std::int64_t from = number_field(order, "t");
			std::int64_t until = INT64_MAX;
			for (const nlohmann::json& later : m_drains)
			{
				const bool ends =
				    "undrain" == text_field(later, "type") && text_field(later, "backend") == target;
				until = ends && from < number_field(later, "t") ? std::min(until, number_field(later, "t"))
				                                                : until;
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
					add_violation("late_work", target + " got a request " + std::to_string(after) +
					                               " s after the drain was ordered");
				}
			}
		}
	}

	/// Checks the cap against requests and runs. The gain of a region is the fraction of a service's requests
	/// that it ran in a window, minus the fraction in the previous window. Refused requests count as sent.
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
				if (text_field(line, "service") == service)
				{
					sent.push_back(number_field(line, "t0"));
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
			if (sent_before < k_min_window_requests || sent_after < k_min_window_requests)
			{
				continue;
			}
			const double p = std::min(1.0, count_between(_ran, at - window, at) / sent_before);
			const double q = std::min(1.0, count_between(_ran, at, at + window) / sent_after);
			const double noise = std::sqrt(p * (1 - p) / sent_before + q * (1 - q) / sent_after);
			m_report.max_gain_over_cap = std::max(m_report.max_gain_over_cap, (q - p) / _rule.cap);
			if (_rule.cap + k_noise_sigmas * noise < q - p)
			{
				add_violation("cap", _what + " gained " + std::to_string(q - p));
			}
		}
	}

	/// Checks the cap against the steps of shifts that nodes have logged, which are exact.
	void check_steps()
	{
		std::map<std::string, std::vector<const nlohmann::json*>> by_service;
		for (const nlohmann::json& line : m_events)
		{
			const std::string name = text_field(line, "name");
			if (("shift_step" == name || "shift_done" == name) && line.contains("shares"))
			{
				by_service[text_field(line, "service")].push_back(&line);
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
				    return number_field(*_a, "t_us") < number_field(*_b, "t_us");
			    });
			for (std::size_t late = 0; late < steps.size(); ++late)
			{
				for (std::size_t early = late; 0 < early; --early)
				{
					const nlohmann::json& before = *steps[early - 1];
					if (number_field(before, "t_us") + rule->second.window_us <
					    number_field(*steps[late], "t_us"))
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
				add_violation("cap", _service + " step of " + region + " gained " + std::to_string(gain));
			}
		}
	}

	void check_configurations()
	{
		std::map<std::string, std::uint64_t> last; // Revision by node, since its last start.
		std::map<std::string, std::vector<std::pair<std::int64_t, std::uint64_t>>> taken;
		std::map<std::string, std::int64_t> started;
		for (const nlohmann::json& line : m_events)
		{
			const std::string node = text_field(line, "node");
			const std::string name = text_field(line, "name");
			if ("node_started" == name)
			{
				last[node] = 0;
				started[node] = number_field(line, "t_us");
			}
			if ("config_taken" != name)
			{
				continue;
			}
			const auto revision = static_cast<std::uint64_t>(number_field(line, "revision"));
			if (revision < last[node])
			{
				add_violation("reverted", node + " reverted from revision " + std::to_string(last[node]) +
				                              " to " + std::to_string(revision));
			}
			last[node] = revision;
			taken[node].emplace_back(number_field(line, "t_us"), revision);
		}
		for (const nlohmann::json& line : m_events)
		{
			if ("config_written" == text_field(line, "name"))
			{
				check_in_force(number_field(line, "t_us"),
				    static_cast<std::uint64_t>(number_field(line, "revision")), taken, started);
			}
		}
	}

	/// @returns Time by which a node must have applied a configuration. If the node was partitioned, its
	/// config_spread_us starts when the partition ends.
	std::int64_t apply_deadline(const std::string& _node, std::int64_t _written) const
	{
		std::int64_t due = _written + m_rules.config_spread_us;
		bool is_cut = false;
		for (const nlohmann::json& line : m_cuts)
		{
			if (text_field(line, "vm") != _node || due < number_field(line, "t"))
			{
				continue;
			}
			is_cut = "cut" == text_field(line, "type");
			due = !is_cut && _written < number_field(line, "t")
			          ? number_field(line, "t") + m_rules.config_spread_us
			          : due;
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
			bool applied = false;
			const auto it = _taken.find(node);
			for (std::size_t at = 0; _taken.end() != it && at < it->second.size(); ++at)
			{
				applied = applied || (_revision <= it->second[at].second &&
				                         it->second[at].first <= apply_deadline(node, _at));
			}
			if (!applied)
			{
				add_violation("not_in_force",
				    node + " did not apply revision " + std::to_string(_revision) + " in time");
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

std::size_t check_report::count(const std::string& _guarantee) const
{
	std::size_t sum = 0;
	for (const violation& one : violations)
	{
		sum += one.guarantee == _guarantee ? 1 : 0;
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
	return history_checker(_lines, _rules).run();
}
} // namespace larkrack
