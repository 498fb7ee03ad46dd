// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Quota lender: how many tokens of a customer this node gives to those that ask.
///
/// Decides the tokens of each answer. Inputs: the customer's limit (requests a second, burst); how many
/// tokens are wanted; how many nodes are in sight and how many ever were; when the nodes in sight last
/// changed.
///
/// Rule: a token bucket for each customer that is asked for. A lender that is new to a customer can not know
/// what the one before it gave away, so its bucket starts with what came together since the nodes in sight
/// changed, or since its own start; that of a stand-in starts empty and gets k_stand_in_part of the rate,
/// since the first one may only be slow. It lends the part of the limit that the nodes in sight are of all
/// that ever were: the others may be cut off and lend as well. Without tokens it tells how long those who
/// asked in the last second would have to wait, so that nodes tell a short shortage from a customer far above
/// its limit.
///
/// State: one bucket of 56 bytes for each customer that was asked for in the last k_bucket_kept.
///
/// Relies on: nodes agreeing on the first lender but for some seconds after a change.
#pragma once

#include "steering/quota_p.h"

#include <unordered_map>

namespace larkrack
{
/// Part of the rate that a stand-in lends, no unit. Higher: more above the limit while a slow lender lends
/// beside it. Lower: more is refused until a dead one is known to be dead. With 0.5, and a bucket deeper by a
/// quarter of the slack, one of 3,000 series of faults in a model took a customer 1% above the bounds.
constexpr double k_stand_in_part = 0.25;
/// Part of the slack of the bounds by which a bucket is deeper than the burst. Customers with a small burst
/// need room for requests that come together.
constexpr double k_depth_of_slack = 0.2;
/// Time for which the bucket of a customer that nobody asks for is kept. Longer: memory. Shorter: a customer
/// that comes back starts with less than its burst.
constexpr std::chrono::seconds k_bucket_kept{30};

/// A lender that was asked for a customer so shortly before the nodes changed goes on as it was. Longer: two
/// bursts when another node was the lender in between. Shorter: customers lose their burst whenever a node
/// comes or goes. Not measured.
constexpr std::chrono::milliseconds k_goes_on{1000};
/// Time over which tokens are counted that were wanted and not there. Not measured.
constexpr std::chrono::milliseconds k_unmet_memory{1000};

/// Lends the tokens of customers whose first lender this node is.
class quota_lender
{
public:
	quota_lender(quota_bounds _bounds, steady_time _now) : m_bounds(_bounds), m_settled_since(_now)
	{
	}
	/// @param[in] _in_sight Live nodes, this one among them.
	/// @param[in] _most Most nodes that were ever in sight at once.
	void set_nodes(double _in_sight, double _most);
	/// Says that nodes came or went: another node may have been the lender of any customer until now.
	void on_nodes_changed(steady_time _now)
	{
		m_settled_since = _now;
	}
	quota_grant lend(const quota_subject& _subject, const quota_request& _request, steady_time _now);
	/// Drops buckets that nobody asks for.
	void forget_idle(steady_time _now);
	std::size_t size() const
	{
		return m_buckets.size();
	}

private:
	struct bucket
	{
		double tokens = 0.0;
		steady_time filled_at{};
		steady_time asked_at{};
		double unmet = 0.0; ///< Tokens that were wanted and not there, of about the last second.
	};
	/// @returns The bucket, filled up to now.
	bucket& filled(const quota_subject& _subject, lender_rank _rank, steady_time _now);

	quota_bounds m_bounds;
	steady_time m_settled_since;
	double m_part = 1.0; ///< Of the limit, by the nodes in sight.
	std::unordered_map<std::uint64_t, bucket> m_buckets;
};
} // namespace larkrack
