// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Quota lender: decides how many tokens of a customer this node lends to the nodes that ask for them.
///
/// Inputs: the customer's limit (requests per second, burst); the number of tokens wanted; the number of live
/// nodes and the maximum that were ever live at once; the time at which the set of live nodes last changed.
///
/// Algorithm: a token bucket for each customer with borrow requests. A node that becomes the lender of a
/// customer does not know what its predecessor lent, so the bucket starts with the tokens that have accrued
/// since the set of live nodes changed, or since this process started. The bucket of a backup lender starts
/// empty and gets k_backup_rate_fraction of the rate, since the first lender may only be slow. The limit is
/// scaled by the ratio of live nodes to the maximum ever live: the missing nodes may be cut off by a network
/// partition and lend as well. Without tokens the answer holds the wait for all tokens that were wanted in
/// the last second, so that borrowers can tell a short shortage from a customer far above its limit.
///
/// Owns one bucket of 56 bytes for each customer with a borrow request in the last k_bucket_idle_timeout.
///
/// Relies on the nodes to agree on the first lender, except for some seconds after a change of the live
/// nodes.
#pragma once

#include "steering/quota_p.h"

#include <unordered_map>

namespace larkrack
{
/// Fraction of the rate that a backup lender lends. Higher: more requests above the limit while a slow lender
/// lends as well. Lower: more requests are refused until a crashed lender is known to be dead. With 0.5, and
/// a bucket that was deeper by a quarter of the slack, one of 3,000 series of faults in a model took a
/// customer 1% above the bounds.
constexpr double k_backup_rate_fraction = 0.25;
/// Fraction of the slack by which a bucket is deeper than the burst. Customers with a small burst need room
/// for requests that arrive together.
constexpr double k_bucket_slack_fraction = 0.2;
/// Idle time after which a bucket is removed. Longer: more memory. Shorter: a customer that returns starts
/// with less than its burst.
constexpr std::chrono::seconds k_bucket_idle_timeout{30};

/// A bucket is kept across a change of the live nodes if it had a borrow request within this time before the
/// change. Longer: two bursts if another node was the lender in between. Shorter: customers lose their burst
/// whenever a node joins or leaves.
constexpr std::chrono::milliseconds k_bucket_carryover{1000};
/// Time constant of the count of tokens that were wanted but not available.
constexpr std::chrono::milliseconds k_unmet_time_constant{1000};

/// Lends the tokens of the customers for which this node is the first lender or the backup lender.
class quota_lender
{
public:
	quota_lender(quota_bounds _bounds, steady_time _now) : m_bounds(_bounds), m_nodes_changed_at(_now)
	{
	}
	/// @param[in] _live_nodes Live nodes, including this one.
	/// @param[in] _max_nodes Maximum number of nodes that were ever live at once.
	void set_nodes(double _live_nodes, double _max_nodes);
	/// Handles a change of the live nodes: until now another node may have been the lender of any customer.
	void on_nodes_changed(steady_time _now)
	{
		m_nodes_changed_at = _now;
	}
	/// Lends as many of the wanted tokens as the bucket has.
	quota_grant lend(const quota_subject& _subject, const quota_request& _request, steady_time _now);
	/// Removes buckets without borrow requests.
	void evict_idle(steady_time _now);
	std::size_t size() const
	{
		return m_buckets.size();
	}

private:
	struct bucket
	{
		double tokens = 0.0;
		steady_time refilled_at{};
		steady_time asked_at{};
		double unmet = 0.0; ///< Tokens that were wanted but not available, within about the last second.
	};
	/// @returns The customer's bucket, refilled up to now.
	bucket& refilled(const quota_subject& _subject, lender_rank _rank, steady_time _now);

	quota_bounds m_bounds;
	steady_time m_nodes_changed_at;
	double m_limit_fraction = 1.0; ///< Fraction of the limit that this lender lends, by the live nodes.
	std::unordered_map<std::uint64_t, bucket> m_buckets;
};
} // namespace larkrack
