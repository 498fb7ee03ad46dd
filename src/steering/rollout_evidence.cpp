// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/rollout_evidence_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace larkrack
{
namespace
{
/// Ratio of the bounds of one class of answer times to the bounds of the class before.
constexpr double k_time_class_ratio = 1.2;
} // namespace

void version_counts::add(const version_counts& _other)
{
	ended += _other.ended;
	failed += _other.failed;
	for (std::size_t i = 0; i < times.size(); ++i)
	{
		times[i] += _other.times[i];
	}
}

void version_counts::count_time(std::chrono::milliseconds _time)
{
	const double ms = std::max(1.0, static_cast<double>(_time.count()));
	const auto index = static_cast<std::size_t>(std::log(ms) / std::log(k_time_class_ratio));
	++times[std::min(index, k_time_classes - 1)];
}

std::uint32_t version_counts::timed() const
{
	return std::accumulate(times.begin(), times.end(), std::uint32_t{0});
}

std::size_t version_counts::quantile(double _part) const
{
	const double wanted = _part * timed();
	double passed = 0.0;
	for (std::size_t i = 0; i < times.size(); ++i)
	{
		passed += times[i];
		if (passed > wanted)
		{
			return i;
		}
	}
	return times.size() - 1;
}

route_evidence& evidence_of(rollout_evidence& _evidence, const std::string& _route)
{
	const auto known = _evidence.find(_route);
	if (_evidence.end() != known)
	{
		return known->second;
	}
	return _evidence[_evidence.size() < k_max_separate_routes ? _route : std::string()];
}

void add_evidence(rollout_evidence& _sum, const rollout_evidence& _one)
{
	for (const auto& [route, evidence] : _one)
	{
		route_evidence& sum = _sum[route];
		sum.target.add(evidence.target);
		sum.others.add(evidence.others);
	}
}

double time_ratio(std::size_t _class, std::size_t _than)
{
	return std::pow(k_time_class_ratio, static_cast<double>(_class) - static_cast<double>(_than));
}
} // namespace larkrack
