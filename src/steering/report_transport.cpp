// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/report_transport_p.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace larkrack
{
namespace
{
/// Base of the group ids in a report.
constexpr int k_group_id_base = 16;
/// Maximum number of digits of a group id.
constexpr std::size_t k_group_id_digits = 16;

/// @returns The id without leading zeros.
std::string to_hex(group_id _group)
{
	char digits[k_group_id_digits];
	const std::to_chars_result end =
	    std::to_chars(digits, digits + k_group_id_digits, _group.value, k_group_id_base);
	return {digits, end.ptr};
}

std::optional<group_id> group_of_hex(const std::string& _text)
{
	group_id group;
	const char* end = _text.data() + _text.size();
	const std::from_chars_result read = std::from_chars(_text.data(), end, group.value, k_group_id_base);
	if (std::errc() != read.ec || end != read.ptr)
	{
		return std::nullopt;
	}
	return group;
}

bool ends_with(const std::string& _text, const std::string& _end)
{
	return _text.size() > _end.size() && 0 == _text.compare(_text.size() - _end.size(), _end.size(), _end);
}

const rate_by_region& rates_in(const rate_by_service_and_region& _sent, const service_name& _name)
{
	static const rate_by_region s_none;
	const auto it = _sent.find(_name);
	return _sent.end() == it ? s_none : it->second;
}

rate_by_region encoded_levels(const rate_by_region& _levels)
{
	rate_by_region encoded;
	for (const auto& [region, level] : _levels)
	{
		const double rounded = std::round(std::clamp(level, 0.0, 1.0) * k_level_steps) / k_level_steps;
		if (rounded > 0.0)
		{
			encoded[region] = rounded;
		}
	}
	return encoded;
}

double rounded_count(double _requests)
{
	return std::round(_requests * k_count_steps) / k_count_steps;
}

rate_by_region encoded_groups(const admission_report& _report)
{
	rate_by_region encoded;
	for (const auto& [group, running] : _report.running)
	{
		encoded[region_name(to_hex(group))] = rounded_count(running);
	}
	if (_report.running_rest > 0.0)
	{
		encoded[region_name(k_rest_of_groups)] = rounded_count(_report.running_rest);
	}
	if (_report.waiting > 0.0)
	{
		encoded[region_name(k_waiting_of_groups)] = rounded_count(_report.waiting);
	}
	return encoded;
}

void decode_groups(const rate_by_region& _encoded, admission_report& _report)
{
	for (const auto& [name, running] : _encoded)
	{
		if (k_rest_of_groups == name.text)
		{
			_report.running_rest = running;
			continue;
		}
		if (k_waiting_of_groups == name.text)
		{
			_report.waiting = running;
			continue;
		}
		if (const std::optional<group_id> group = group_of_hex(name.text))
		{
			_report.running.emplace_back(*group, running);
		}
	}
}
} // namespace

admission_report limit_groups(admission_report _report)
{
	if (_report.running.size() <= k_max_reported_groups)
	{
		return _report;
	}
	std::sort(_report.running.begin(), _report.running.end(),
	    [](const std::pair<group_id, double>& _left, const std::pair<group_id, double>& _right)
	    {
		    return std::make_pair(_right.second, _left.first) < std::make_pair(_left.second, _right.first);
	    });
	for (std::size_t i = k_max_reported_groups; i < _report.running.size(); ++i)
	{
		_report.running_rest += _report.running[i].second;
	}
	_report.running.resize(k_max_reported_groups);
	return _report;
}

void add_report(
    const service_name& _service, const admission_report& _report, rate_by_service_and_region& _sent)
{
	rate_by_region levels = encoded_levels(_report.level);
	if (!levels.empty())
	{
		_sent[load_levels_of(_service)] = std::move(levels);
	}
	rate_by_region groups = encoded_groups(limit_groups(_report));
	if (!groups.empty())
	{
		_sent[group_counts_of(_service)] = std::move(groups);
	}
}

admission_report report_in(const rate_by_service_and_region& _sent, const service_name& _service)
{
	admission_report report;
	for (const auto& [region, per_s] : rates_in(_sent, _service))
	{
		report.level.emplace(region, 0.0);
	}
	for (const auto& [region, level] : rates_in(_sent, load_levels_of(_service)))
	{
		report.level[region] = std::clamp(level, 0.0, 1.0);
	}
	decode_groups(rates_in(_sent, group_counts_of(_service)), report);
	return report;
}

bool is_report_name(const service_name& _name)
{
	static const std::string s_levels = load_levels_of(service_name()).text;
	static const std::string s_groups = group_counts_of(service_name()).text;
	return ends_with(_name.text, s_levels) || ends_with(_name.text, s_groups);
}
} // namespace larkrack
