// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/quota_lender_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Longest time that a customer without tokens is told to wait for one. No tuning value: the borrower asks
/// again after it.
constexpr std::chrono::milliseconds k_longest_wait{5000};

std::chrono::milliseconds time_for(double _tokens, double _per_s)
{
	const double longest = static_cast<double>(k_longest_wait.count());
	const double ms = _per_s > 0.0 ? 1000.0 * std::max(0.0, _tokens) / _per_s : longest;
	return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(std::min(ms, longest))));
}

/// Shortest wait that is told, so that it is not taken for k_sent_back.
constexpr std::chrono::milliseconds k_least_wait{1};

double seconds(steady_time::duration _time)
{
	return std::chrono::duration<double>(_time).count();
}

double seconds_between(steady_time _from, steady_time _to)
{
	return std::max(0.0, seconds(_to - _from));
}
} // namespace

void quota_lender::set_nodes(double _in_sight, double _most)
{
	m_part = std::min(1.0, _in_sight / std::max(1.0, _most));
}

quota_lender::bucket& quota_lender::filled(const quota_subject& _subject, lender_rank _rank, steady_time _now)
{
	const double rank_part = lender_rank::first == _rank ? 1.0 : k_stand_in_part;
	const double per_s = rank_part * m_part * _subject.limit.per_s;
	const double depth = m_part * (_subject.limit.burst + k_depth_of_slack * m_bounds.slack);
	bucket& one = m_buckets[_subject.id];
	if (one.asked_at + k_goes_on < m_settled_since || steady_time{} == one.asked_at)
	{
		one = bucket();
		one.filled_at = lender_rank::first == _rank ? m_settled_since : _now;
		one.asked_at = _now;
	}
	if (one.asked_at < m_settled_since)
	{
		// Another node may have lent between the last question and the change.
		one.filled_at = std::max(one.filled_at, m_settled_since);
	}
	one.unmet *= std::exp(-seconds_between(one.asked_at, _now) / seconds(k_unmet_memory));
	one.tokens = std::min(depth, one.tokens + per_s * seconds_between(one.filled_at, _now));
	one.filled_at = _now;
	one.asked_at = _now;
	return one;
}

quota_grant quota_lender::lend(const quota_subject& _subject, const quota_request& _request, steady_time _now)
{
	bucket& one = filled(_subject, _request.rank, _now);
	const double wanted = _request.wanted;
	const double granted = std::min(wanted, std::floor(one.tokens));
	one.tokens -= granted;
	one.unmet += m_bounds.counts_questions ? (granted < 1.0 ? 1.0 : 0.0) : wanted - granted;
	quota_grant grant;
	grant.customer = _request.customer;
	grant.granted = static_cast<std::uint16_t>(granted);
	if (granted < 1.0)
	{
		grant.wait = k_least_wait + time_for(one.unmet - one.tokens, m_part * _subject.limit.per_s);
	}
	return grant;
}

void quota_lender::forget_idle(steady_time _now)
{
	for (auto it = m_buckets.begin(); it != m_buckets.end();)
	{
		it = _now - it->second.asked_at > k_bucket_kept ? m_buckets.erase(it) : std::next(it);
	}
}
} // namespace larkrack
