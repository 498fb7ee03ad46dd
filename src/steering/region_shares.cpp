// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/region_shares_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Share or width below which a region gets no requests: a rounding error. Not a tuning value.
constexpr double k_min_share = 1e-9;
/// Lower than any credit.
constexpr double k_lowest_credit = -1e300;
} // namespace

share_pace pace_for(double _max_shift, std::chrono::milliseconds _window)
{
	const double per_s = _max_shift / std::chrono::duration<double>(_window).count();
	return {k_shift_fraction_away * per_s, k_shift_fraction_back * per_s};
}

void region_shares::move_towards(const region_plan& _plan, steady_time _now)
{
	const double passed = steady_time{} == m_updated_at
	                          ? k_initial_step_s
	                          : std::chrono::duration<double>(_now - m_updated_at).count();
	m_updated_at = _now;
	const share_by_region& planned = _plan.shares;
	if (planned.empty())
	{
		return;
	}
	if (m_shares.empty() || _plan.immediate)
	{
		m_shares = planned;
		return;
	}
	for (const auto& [region, share] : planned)
	{
		m_shares.emplace(region, 0.0);
	}
	const auto goal_of = [&](const region_name& _region)
	{
		const auto goal = planned.find(_region);
		return planned.end() == goal ? 0.0 : goal->second;
	};
	double moved = 0.0;
	for (const auto& [region, share] : m_shares)
	{
		moved += std::max(0.0, goal_of(region) - share);
	}
	const auto home = m_shares.find(m_home);
	const bool towards_home = m_shares.end() != home && goal_of(m_home) > home->second;
	const double pace = towards_home ? m_pace.back : m_pace.away;
	const double part = moved > pace * passed ? pace * passed / moved : 1.0;
	for (auto& [region, share] : m_shares)
	{
		share += part * (goal_of(region) - share);
	}
}

region_name region_shares::region_of(double _position) const
{
	return m_shares.empty() ? region_name() : owner_of(_position, 0.0);
}

region_name region_shares::owner_of(double _position, double _width_for_credit) const
{
	std::vector<std::pair<region_name, double>> widths;
	double sum = 0.0;
	for (const auto& [region, share] : m_shares)
	{
		const auto credit = m_credit.find(region);
		const double requests = m_credit.end() == credit ? 0.0 : credit->second;
		const double width = share < k_min_share ? 0.0 : std::max(0.0, share + _width_for_credit * requests);
		widths.emplace_back(region, width);
		sum += width;
	}
	std::stable_partition(widths.begin(), widths.end(),
	    [this](const std::pair<region_name, double>& _one)
	    {
		    return _one.first == m_home;
	    });
	double end = 0.0;
	region_name last = m_home;
	for (const auto& [region, width] : widths)
	{
		if (width < k_min_share)
		{
			continue;
		}
		end += width / sum;
		last = region;
		if (_position < end)
		{
			break;
		}
	}
	return last;
}

region_name region_shares::next_region(double _position)
{
	if (m_shares.empty())
	{
		return {};
	}
	region_name most_credited;
	double highest_credit = k_lowest_credit;
	for (const auto& [region, share] : m_shares)
	{
		double& credit = m_credit[region];
		credit = std::clamp(credit + share, -k_max_credit, k_max_credit);
		if (share > k_min_share && credit > highest_credit)
		{
			most_credited = region;
			highest_credit = credit;
		}
	}
	// Credit widens a region at its borders only, so that most keys never move.
	region_name chosen = owner_of(_position, k_width_for_credit);
	if (m_credit[chosen] < -k_max_overdraft && !most_credited.empty())
	{
		chosen = most_credited;
	}
	m_credit[chosen] -= 1.0;
	return chosen;
}

void region_shares::move_credit(const region_name& _from, const region_name& _to)
{
	m_credit[_from] += 1.0;
	m_credit[_to] -= 1.0;
}

double region_shares::share_of(const region_name& _region) const
{
	const auto it = m_shares.find(_region);
	return m_shares.end() == it ? 0.0 : it->second;
}
} // namespace larkrack
