// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/quota_lender_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Maximum wait in an answer without tokens. Not a tuning value: the borrower asks again after that time.
constexpr std::chrono::milliseconds k_max_grant_wait{5000};

std::chrono::milliseconds refill_time(double _tokens, double _per_s)
{
	const double max_ms = static_cast<double>(k_max_grant_wait.count());
	const double ms = _per_s > 0.0 ? 1000.0 * std::max(0.0, _tokens) / _per_s : max_ms;
	return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(std::min(ms, max_ms))));
}

/// Minimum wait in an answer without tokens, since a wait of 0 is a redirect (k_redirect_wait).
constexpr std::chrono::milliseconds k_min_grant_wait{1};

double seconds(steady_time::duration _time)
{
	return std::chrono::duration<double>(_time).count();
}

double seconds_between(steady_time _from, steady_time _to)
{
	return std::max(0.0, seconds(_to - _from));
}
} // namespace

void quota_lender::set_nodes(double _live_nodes, double _max_nodes)
{
	m_limit_fraction = std::min(1.0, _live_nodes / std::max(1.0, _max_nodes));
}

quota_lender::bucket& quota_lender::refilled(
    const quota_subject& _subject, lender_rank _rank, steady_time _now)
{
	const double rank_fraction = lender_rank::first == _rank ? 1.0 : k_backup_rate_fraction;
	const double per_s = rank_fraction * m_limit_fraction * _subject.limit.per_s;
	const double depth = m_limit_fraction * (_subject.limit.burst + k_bucket_slack_fraction * m_bounds.slack);
	bucket& entry = m_buckets[_subject.id];
	if (entry.asked_at + k_bucket_carryover < m_nodes_changed_at || steady_time{} == entry.asked_at)
	{
		entry = bucket();
		entry.refilled_at = lender_rank::first == _rank ? m_nodes_changed_at : _now;
		entry.asked_at = _now;
	}
	if (entry.asked_at < m_nodes_changed_at)
	{
		// Another node may have lent tokens between the last borrow request and the change of nodes.
		entry.refilled_at = std::max(entry.refilled_at, m_nodes_changed_at);
	}
	entry.unmet *= std::exp(-seconds_between(entry.asked_at, _now) / seconds(k_unmet_time_constant));
	entry.tokens = std::min(depth, entry.tokens + per_s * seconds_between(entry.refilled_at, _now));
	entry.refilled_at = _now;
	entry.asked_at = _now;
	return entry;
}

quota_grant quota_lender::lend(const quota_subject& _subject, const quota_request& _request, steady_time _now)
{
	bucket& entry = refilled(_subject, _request.rank, _now);
	const double wanted = _request.wanted;
	const double granted = std::min(wanted, std::floor(entry.tokens));
	entry.tokens -= granted;
	entry.unmet += m_bounds.counts_borrow_requests ? (granted < 1.0 ? 1.0 : 0.0) : wanted - granted;
	quota_grant grant;
	grant.customer = _request.customer;
	grant.granted = static_cast<std::uint16_t>(granted);
	if (granted < 1.0)
	{
		grant.wait = k_min_grant_wait +
		             refill_time(entry.unmet - entry.tokens, m_limit_fraction * _subject.limit.per_s);
	}
	return grant;
}

void quota_lender::evict_idle(steady_time _now)
{
	for (auto it = m_buckets.begin(); it != m_buckets.end();)
	{
		it = _now - it->second.asked_at > k_bucket_idle_timeout ? m_buckets.erase(it) : std::next(it);
	}
}
} // namespace larkrack
