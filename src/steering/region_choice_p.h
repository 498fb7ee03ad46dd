// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Region choice: in which region a request runs, and in which others it may.
///
/// Decides the planned region of a request, the order in which regions are tried when it is sent, and whether
/// it may leave the planned one. Inputs: the affinity key, the route (large answers, objective in
/// milliseconds, home regions), the shares in force (parts of the requests, 0 to 1), and the distances.
///
/// Rule: a request with a key goes to the region that owns its key's position by the shares of keys (by_key),
/// home first, so that the nodes of a region agree and few backend servers see a key. Requests without a key,
/// those whose key's region is too far for the objective, and large answers are divided by the shares by
/// demand (by_share), which keep them near the caller. When the planned region has no free backend server,
/// the others follow by falling share, and a token bucket lets k_overflow_part of a service's requests go
/// there: without a bound, a jump of demand moved 46 of 100 requests within 2 s. Where the
/// home regions of the route leave no choice, the bucket does not count.
///
/// Other ways (docs/DESIGN.md, "Keys"): one place in the world for each key, by the slots of the regions,
/// sends two thirds of the requests to another region although nearly each key is asked for in one region
/// only.
///
/// Relies on region_shares_p.h for the shares, and on region_distances_p.h.
#pragma once

#include "steering/affinity_key_p.h"
#include "steering/region_distances_p.h"
#include "steering/region_shares_p.h"
#include "steering/routing_table_p.h"
#include "steering/token_bucket_p.h"

#include <vector>

namespace larkrack
{
/// Part of a service's requests that may leave their planned region, no unit. More serves bursts elsewhere,
/// less keeps shifts between regions small. None costs up to 0.006
/// of worth, 0.1 changes nothing beyond the error (docs/DECISIONS.md).
constexpr double k_overflow_part = 0.03;
/// Lowest rate of that, requests a second, so that a service with few requests may overflow at all. Not
/// measured.
constexpr double k_overflow_least_per_s = 1.0;
/// Requests that may leave at once after a pause. Not measured.
constexpr double k_overflow_burst = 1.0;

/// What gave a request its region.
enum class region_rule
{
	by_key,   ///< The position of its key alone.
	by_share, ///< The shares by demand.
};

/// Where a request shall run.
struct region_choice
{
	region_name region; ///< Empty: no region has any backend server.
	region_rule rule = region_rule::by_share;
};

/// Shares of one service, by the rule that uses them.
struct service_shares
{
	region_shares by_demand;
	region_shares of_keys;

	region_shares& of(region_rule _rule)
	{
		return region_rule::by_key == _rule ? of_keys : by_demand;
	}
};

/// Chooses the planned region; that is counted in the shares by demand where they are used.
/// @param[in] _own_region Region of this node, which is never too far.
region_choice choose_region(affinity_key _key, const route& _route, const region_name& _own_region,
    const region_distances& _distances, service_shares& _shares, std::minstd_rand& _random);

/// @returns Regions in the order in which they are tried: the planned one, then the others that the route's
/// home regions allow, by falling share; the home regions themselves when none of them has a share.
std::vector<region_name> regions_to_try(const region_name& _planned, const share_by_region& _shares,
    const std::vector<std::string>& _home_regions);

/// @returns Whether a request has no choice but to leave its planned region, which is none, or no home
/// region.
bool leaves_freely(const region_name& _planned, const std::vector<std::string>& _home_regions);

/// Whether a request may leave its planned region, and why.
enum class departure
{
	no_choice, ///< The planned region is none, or no home region of the route.
	overflow,  ///< Within the part that may; it is counted.
	denied,
};

/// Bounds the requests of one service that leave their planned region.
class overflow_bucket
{
public:
	/// @param[in] _requests_per_s First tries of the service at this node.
	departure may_leave(const region_name& _planned, const std::vector<std::string>& _home_regions,
	    double _requests_per_s, steady_time _now);

private:
	token_bucket m_bucket;
};
} // namespace larkrack
