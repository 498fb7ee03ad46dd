// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Region shares: the shares in force, which follow the plan at a bounded pace, and which request uses them.
///
/// Decides the shares of regions in the requests of one service, and the region of each request by its key's
/// position. Inputs: the plan (region_plan_p.h), the time, the permitted shift (part of a region's requests
/// that may change their region from one window to the next), and positions in [0, 1).
///
/// Rule for the pace: rate limiting with different rates for the two directions. Shares move away from home
/// at k_shift_part_away of the permitted shift, since requests fail without it, and back at
/// k_shift_part_back, since that only saves distance and bytes. A plan after a failure of capacity is taken
/// at once.
///
/// Rule for requests: each region owns an interval of [0, 1) as wide as its share (consistent hashing by
/// position), the home region the first one. region_of() uses the position alone, for keys. next_region()
/// keeps to the shares in every prefix of the sequence as well, by the credits of smooth weighted round
/// robin: each request adds every region's share to its credit and takes 1 from the chosen one. A region with
/// credit grows at its border by k_width_for_credit for each request, so most keys never move; only when a
/// region has overdrawn k_most_overdraft does the request go to the region with the highest credit instead.
///
/// Other ways:
/// - moving any key whenever a request strays from the shares: score 0.893 and 0.694 against 0.911 and 0.745
///   of two deployments with moved borders;
/// - for keys, credits that move the borders: 0.747 against 0.779 worth of a quiet day
///   (docs/DESIGN.md, "Keys").
///
/// Relies on the caller to tell where a request ran in the end (move_credit).
#pragma once

#include "base/clock_p.h"
#include "steering/region_plan_p.h"

#include <chrono>
#include <map>

namespace larkrack
{
/// Part of the permitted shift that is used for requests that leave their region, no unit; the rest is left
/// to chance in small numbers. More follows demand sooner, less shifts requests back and forth.
constexpr double k_shift_part_away = 0.7;
/// The same for requests that come home. It is slower, since each key that comes home runs once where nobody
/// knows it: 0.5 gains 0.005 of worth in one deployment and loses 0.07 of a quiet day in another, whose small
/// region has to send the keys away again (docs/DECISIONS.md).
constexpr double k_shift_part_back = 0.3;
/// Requests that a region may have had above its share before any key is moved away from it. More keeps keys
/// at their place, fewer keeps to the shares closer. Not measured.
constexpr double k_most_overdraft = 5.0;
/// Part of all positions by which a region grows for each request of credit. More returns to the shares
/// sooner, less moves fewer keys. No other width was measured.
constexpr double k_width_for_credit = 0.03;
/// Bound of the credits, requests, so that a region that could not be used for a while gets no flood after
/// it. Not measured.
constexpr double k_most_credit = 8.0;
/// Time that the first step of the shares covers, seconds: one tick of a small fleet. Not measured.
constexpr double k_first_step_s = 0.1;

/// How fast shares may move, as parts of the requests in a second.
struct share_pace
{
	double away = 0.0; ///< Away from home.
	double back = 0.0; ///< Back home.
};
/// @param[in] _max_shift Part of the requests that may change their region in a window.
share_pace pace_for(double _max_shift, std::chrono::milliseconds _window);

/// Shares in force, and the order in which requests use them.
class region_shares
{
public:
	/// @param[in] _home Region that owns the first positions; empty: the order of the names alone decides.
	region_shares(region_name _home, share_pace _pace) : m_home(std::move(_home)), m_pace(_pace)
	{
	}
	/// Moves the shares in force towards the planned ones. An empty plan changes nothing.
	void follow(const region_plan& _plan, steady_time _now);
	/// Chooses the region for a request, and counts it.
	/// @param[in] _position Equal positions go to one region as long as shares stay, nearly always.
	/// @returns Empty when there is none.
	region_name next_region(double _position);
	/// @returns The region that owns a position, whatever went where before; empty when there is none. With
	/// many keys the shares hold in the mean.
	region_name region_of(double _position) const;
	/// Counts a request to another region than the chosen one.
	void move_credit(const region_name& _from, const region_name& _to);
	const share_by_region& shares() const
	{
		return m_shares;
	}
	/// @returns Share of one region.
	double share_of(const region_name& _region) const;

private:
	/// @returns Region that owns the position.
	/// @param[in] _width_for_credit Part of all positions by which a region grows for each request of credit.
	region_name owner_of(double _position, double _width_for_credit) const;

	region_name m_home;
	share_pace m_pace;
	share_by_region m_shares;
	/// Requests that each region should have had by its share, less those that it had.
	std::map<region_name, double> m_credit;
	steady_time m_followed_at{};
};
} // namespace larkrack
