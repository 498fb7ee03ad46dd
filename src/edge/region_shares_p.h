// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Divides the requests of one region and service among regions, at a bounded pace.
#pragma once

#include "../clock_p.h"

#include <map>
#include <string>
#include <vector>

namespace larkrack
{
/// What a region asks for and what it can carry, for one service.
struct region_figures
{
	double demand = 0.0;   ///< Slots that the requests of its callers would occupy.
	double capacity = 0.0; ///< Slots of usable backend servers.
};

using figures_by_region = std::map<std::string, region_figures>;
using share_by_region = std::map<std::string, double>;

/// Works out where the requests of a region should run: at home as far as the region can carry them, the rest
/// in proportion to what other regions have left. When all regions together can not carry the demand, each is
/// granted the same part of its own.
/// @returns Shares that sum up to 1; empty when no region has any capacity.
share_by_region plan_shares(const std::string& _home, const figures_by_region& _figures);

/// Shares in force, which follow the planned ones at a bounded pace, and the order in which requests use them.
class region_shares
{
public:
	/// @param[in] _pace Largest part of the requests that may change their region in a second.
	explicit region_shares(double _pace) : m_pace(_pace)
	{
	}
	/// Moves the shares in force towards the planned ones.
	/// @param[in] _at_once Whether to take the planned shares as they are: after a loss of capacity that nobody
	/// planned, waiting would only fail requests.
	void follow(const share_by_region& _planned, bool _at_once, steady_time _now);
	/// @returns Region for the next request; empty when there is none.
	/// @remarks Smooth weighted round robin, so that small numbers of requests keep to the shares as well.
	std::string next();
	const share_by_region& shares() const
	{
		return m_shares;
	}

private:
	double m_pace;
	share_by_region m_shares;
	std::map<std::string, double> m_credit;
	steady_time m_followed_at{};
};

/// Picks among weighted names so that each prefix of the sequence keeps to the weights.
class smooth_rotation
{
public:
	/// @param[in] _weights Names with their weights; a name may come and go between calls.
	/// @returns Index of the chosen one.
	std::size_t next(const std::vector<std::pair<std::string, double>>& _weights);

private:
	std::map<std::string, double> m_credit;
};
} // namespace larkrack
