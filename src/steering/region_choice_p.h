// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Region choice: decides in which region a request runs, and which other regions may run it.
///
/// Decides the planned region of a request, the order in which regions are tried, and whether the request may
/// leave the planned region. Inputs: the affinity key, the route (large answers, objective in milliseconds,
/// home regions), the shares in force (fractions of the requests, 0 to 1), and the round-trip times to other
/// regions.
///
/// Algorithm: a request with a key goes to the region that owns the position of its key by the shares of keys
/// (by_key). The home region owns the first positions, so that the nodes of a region agree and few backend
/// servers see a key. Requests without a key, requests whose key belongs to a region that is too far for the
/// objective, and requests with large answers are divided by the shares by demand (by_share), which keep them
/// near the caller. When the planned region has no free backend server, the others are tried by falling
/// share, and a token bucket lets k_overflow_fraction of a service's requests go there: without a bound, a
/// jump of demand moved 46 of 100 requests within 2 s. Requests whose home regions exclude the planned region
/// take no token.
///
/// Alternatives (docs/DESIGN.md, "Keys"): one global place for each key, by the slots of the regions, sends
/// two thirds of the requests to another region although nearly each key is requested in one region only.
///
/// Relies on region_shares_p.h for the shares, and on region_distances_p.h for the round-trip times.
#pragma once

#include "steering/affinity_key_p.h"
#include "steering/region_distances_p.h"
#include "steering/region_shares_p.h"
#include "steering/routing_table_p.h"
#include "steering/token_bucket_p.h"

#include <vector>

namespace larkrack
{
/// Fraction of a service's requests that may leave their planned region. More: bursts are served in other
/// regions. Less: shifts between regions stay small. 0 costs up to 0.006 of worth, 0.1 changes nothing beyond
/// the error (docs/DECISIONS.md).
constexpr double k_overflow_fraction = 0.03;
/// Minimum of this overflow rate, in requests per second, so that a service with few requests may overflow at
/// all.
constexpr double k_overflow_min_per_s = 1.0;
/// Burst of the overflow bucket: requests that may leave together after a pause.
constexpr double k_overflow_burst = 1.0;

/// Rule that chose the region of a request.
enum class region_rule
{
	by_key,   ///< By the position of its key alone.
	by_share, ///< By the shares by demand.
};

/// Planned region of a request.
struct region_choice
{
	region_name region; ///< Empty: no region has a share.
	region_rule rule = region_rule::by_share;
};

/// Region shares of one service, one set for each rule.
struct service_shares
{
	region_shares by_demand;
	region_shares of_keys;

	region_shares& of(region_rule _rule)
	{
		return region_rule::by_key == _rule ? of_keys : by_demand;
	}
};

/// Chooses the planned region, and counts the request in the shares by demand if these were used.
/// @param[in] _own_region Region of this node, which is never too far.
region_choice choose_region(affinity_key _key, const route& _route, const region_name& _own_region,
    const region_distances& _distances, service_shares& _shares, std::minstd_rand& _random);

/// @returns Regions in the order in which they are tried: the planned region, then the others that the
/// route's home regions allow, by falling share; the home regions themselves when none of the allowed regions
/// has a share.
std::vector<region_name> regions_to_try(const region_name& _planned, const share_by_region& _shares,
    const std::vector<std::string>& _home_regions);

/// @returns Whether a request has to leave its planned region, because there is none or it is not among the
/// route's home regions.
bool must_leave(const region_name& _planned, const std::vector<std::string>& _home_regions);

/// Decision about a request that would leave its planned region.
enum class overflow_decision
{
	no_choice, ///< May leave: there is no planned region, or it is not a home region of the route.
	overflow,  ///< May leave: within the overflow rate, from which it takes a token.
	denied,
};

/// Rate limit for the requests of one service that leave their planned region.
class overflow_bucket
{
public:
	/// @param[in] _requests_per_s First attempts of the service at this node.
	overflow_decision may_leave(const region_name& _planned, const std::vector<std::string>& _home_regions,
	    double _requests_per_s, steady_time _now);

private:
	token_bucket m_bucket;
};
} // namespace larkrack
