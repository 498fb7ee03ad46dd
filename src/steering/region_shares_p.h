// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Region shares: the shares of regions in force, and the region of each request by them.
///
/// Moves the shares in force towards the plan at a bounded rate, and chooses the region of each request of
/// one service by the position of its key. Inputs: the plan (region_plan_p.h), the time, the permitted shift
/// (fraction of a region's requests that may change their region from one window to the next), and positions
/// in [0, 1).
///
/// Algorithm for the shares: rate limiting with one rate for each direction. Shares move away from the home
/// region at k_shift_fraction_away of the permitted shift, since requests fail without that move, and back at
/// k_shift_fraction_back, since the way back only saves distance and bytes. After a failure of capacity the
/// plan takes effect at once.
///
/// Algorithm for the requests: each region owns an interval of [0, 1) as wide as its share (consistent
/// hashing by position), the home region the first one. region_of() uses the position alone, for keys.
/// next_region() also keeps to the shares in every prefix of the request sequence, by the credits of smooth
/// weighted round robin: each request adds every region's share to its credit and deducts 1 from the chosen
/// region. A region with credit grows at its borders by k_width_for_credit for each request of credit, so
/// most keys never move. Only when the chosen region has overdrawn its credit by k_max_overdraft does the
/// request go to the region with the highest credit instead.
///
/// Alternatives:
/// - moving any key whenever requests deviate from the shares: score 0.893 and 0.694 against 0.911 and 0.745
///   of two deployments with moved borders;
/// - for keys, credits that move the borders: 0.747 against 0.779 worth of a quiet day (docs/DESIGN.md,
///   "Keys").
///
/// Owns the shares in force and the credits. Relies on the caller to report a request that ran in another
/// region than the chosen one (move_credit).
#pragma once

#include "base/clock_p.h"
#include "steering/region_plan_p.h"

#include <chrono>
#include <map>

namespace larkrack
{
/// Fraction of the permitted shift that is used for requests that leave their region; the rest covers random
/// deviations in small samples. More: shares follow demand sooner. Less: fewer requests are shifted back and
/// forth.
constexpr double k_shift_fraction_away = 0.7;
/// Fraction of the permitted shift that is used for requests that return to their home region. It is lower,
/// since each key that returns runs once on a backend server without state for it: 0.5 gains 0.005 of worth
/// in one deployment and loses 0.07 of a quiet day in another, whose small region has to send the keys away
/// again (docs/DECISIONS.md).
constexpr double k_shift_fraction_back = 0.3;
/// Number of requests that a region may get above its share before any key is moved away from it. More: keys
/// stay in their region. Fewer: requests keep to the shares more closely.
constexpr double k_max_overdraft = 5.0;
/// Fraction of all positions by which a region grows for each request of credit. More: requests return to the
/// shares sooner. Less: fewer keys move.
constexpr double k_width_for_credit = 0.03;
/// Bound of the credits, in requests, so that a region that was unusable for a while is not flooded
/// afterwards.
constexpr double k_max_credit = 8.0;
/// Time that the first step of the shares covers, in seconds: one tick of a small fleet.
constexpr double k_initial_step_s = 0.1;

/// Rates at which shares may move, as fractions of the requests per second.
struct share_pace
{
	double away = 0.0; ///< Away from the home region.
	double back = 0.0; ///< Back to the home region.
};
/// @param[in] _max_shift Fraction of the requests that may change their region in a window.
/// @returns Rates at which shares may move.
share_pace pace_for(double _max_shift, std::chrono::milliseconds _window);

/// Shares in force, and the choice of regions by them.
class region_shares
{
public:
	/// @param[in] _home Region that owns the first positions; empty: regions are in the order of their names.
	region_shares(region_name _home, share_pace _pace) : m_home(std::move(_home)), m_pace(_pace)
	{
	}
	/// Moves the shares in force towards the planned ones. An empty plan changes nothing.
	void move_towards(const region_plan& _plan, steady_time _now);
	/// Chooses the region of a request, and counts the request.
	/// @param[in] _position Equal positions nearly always go to the same region while the shares are
	/// unchanged.
	/// @returns Empty when no region has a share.
	region_name next_region(double _position);
	/// @returns The region that owns a position, whatever earlier requests got; empty when no region has a
	/// share. With many keys the shares hold on average.
	region_name region_of(double _position) const;
	/// Counts a request that ran in another region than the chosen one.
	void move_credit(const region_name& _from, const region_name& _to);
	const share_by_region& shares() const
	{
		return m_shares;
	}
	/// @returns Share of one region.
	double share_of(const region_name& _region) const;

private:
	/// @returns The region that owns the position.
	/// @param[in] _width_for_credit Fraction of all positions by which a region grows for each request of
	/// credit.
	region_name owner_of(double _position, double _width_for_credit) const;

	region_name m_home;
	share_pace m_pace;
	share_by_region m_shares;
	/// Requests that each region should have got by its share, less the requests that it got.
	std::map<region_name, double> m_credit;
	steady_time m_updated_at{};
};
} // namespace larkrack
