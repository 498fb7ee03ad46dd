// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/quota_borrower_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Fraction of the overage that the nodes share for requests without a token. The rest covers the tokens that
/// nodes hold and a backup lender that lends beside a slow lender. With half of the overage here and a backup
/// lender that lent the whole rate, a customer that asked for ten times its limit was served 3% above the
/// bounds in a window; with 0.4, random faults in a model took one customer 1% above.
constexpr double k_fallback_overage_fraction = 0.2;
/// Fraction of the slack that the nodes share for requests without a token. The rest is bucket depth of one
/// lender and of its successor: with 0.75, nodes that were cut off and crashed at random took a customer with
/// a limit of a few requests 1 to 5% above the bounds.
constexpr double k_fallback_slack_fraction = 0.3;
/// Fraction of the tokens for k_borrow_horizon below which more tokens are borrowed. Higher: more messages.
/// Lower: requests wait.
constexpr double k_borrow_threshold = 0.5;
/// Maximum number of tokens in one borrow request; the field has 16 bits.
constexpr double k_max_wanted_tokens = 10000.0;
/// Minimum retry time that a refused customer is given, in seconds.
/// Shorter: most callers are refused again. Longer: callers of a customer whose surge has ended stay away.
constexpr double k_quota_retry_after_min_s = 0.5;
constexpr double k_quota_retry_after_max_s = 4.0; ///< Maximum of that time.

double seconds(steady_time::duration _time)
{
	return std::chrono::duration<double>(_time).count();
}
} // namespace

quota_borrower::account& quota_borrower::decayed_account(std::uint64_t _subject, steady_time _now)
{
	account& entry = m_accounts[_subject];
	const double memory_s = seconds(k_account_rate_time_constant);
	const double decay = steady_time{} == entry.decayed_at
	                         ? 0.0
	                         : std::exp(-std::max(0.0, seconds(_now - entry.decayed_at)) / memory_s);
	entry.per_s *= decay;
	entry.granted_per_s *= decay;
	entry.decayed_at = _now;
	return entry;
}

bool quota_borrower::spend(account& _account, steady_time _now)
{
	if (_now >= _account.expires_at)
	{
		_account.tokens = 0.0;
	}
	if (_account.tokens < 1.0)
	{
		return false;
	}
	_account.tokens -= 1.0;
	_account.granted_per_s += 1.0 / seconds(k_account_rate_time_constant);
	return true;
}

quota_answer quota_borrower::take(const quota_subject& _subject, double _nodes, steady_time _now)
{
	account& entry = decayed_account(_subject.id, _now);
	entry.per_s += 1.0 / seconds(k_account_rate_time_constant);
	if (spend(entry, _now))
	{
		return quota_answer::granted;
	}
	if (refuses_at_once(entry, _now))
	{
		return quota_answer::over_limit;
	}
	return spend_fallback(entry, _subject, _nodes, _now) ? quota_answer::granted : quota_answer::waits;
}

bool quota_borrower::refuses_at_once(const account& _account, steady_time _now)
{
	// When the pause has ended, one request waits for the next answer; further requests would only wait as
	// well, so they are refused.
	return _account.over_limit && (_now < _account.pause_until || steady_time{} != _account.asked_at);
}

quota_answer quota_borrower::retry_take(
    const quota_subject& _subject, const quota_lenders& _lenders, steady_time _now)
{
	account& entry = decayed_account(_subject.id, _now);
	if (spend(entry, _now))
	{
		return quota_answer::granted;
	}
	if (_now < entry.pause_until && entry.over_limit)
	{
		return quota_answer::over_limit;
	}
	const bool none_responds = is_unresponsive(_lenders.first, _now) &&
	                           (0 == _lenders.backup || is_unresponsive(_lenders.backup, _now));
	return none_responds ? quota_answer::unknown : quota_answer::waits;
}

bool quota_borrower::is_unresponsive(std::uint32_t _lender, steady_time _now) const
{
	const auto it = m_lenders.find(_lender);
	return m_lenders.end() != it && _now < it->second.skipped_until;
}

bool quota_borrower::spend_fallback(
    account& _account, const quota_subject& _subject, double _nodes, steady_time _now) const
{
	if (_now - m_started_at < m_bounds.window)
	{
		return false;
	}
	// The counter starts again only when a whole window has passed since the last request without a token: a
	// shorter span could hold twice as many.
	if (_now - _account.last_fallback_at > m_bounds.window)
	{
		_account.fallback_used = 0;
	}
	const double in_window = _subject.limit.per_s * seconds(m_bounds.window) + _subject.limit.burst;
	const double total = k_fallback_overage_fraction * m_bounds.overage * in_window +
	                     k_fallback_slack_fraction * m_bounds.slack;
	const double own_share = total / std::max(1.0, _nodes);
	const double rounding = unit_interval(_subject.id ^ m_node_hash);
	if (_account.fallback_used + 1 > std::floor(own_share + rounding))
	{
		return false;
	}
	++_account.fallback_used;
	_account.last_fallback_at = _now;
	return true;
}

void quota_borrower::return_token(const quota_subject& _subject, steady_time _now)
{
	const auto it = m_accounts.find(_subject.id);
	if (m_accounts.end() != it && _now < it->second.expires_at)
	{
		it->second.tokens += 1.0;
	}
}

void quota_borrower::on_borrow_sent(std::uint32_t _lender, steady_time _now)
{
	lender_health& lender = m_lenders[_lender];
	if (steady_time{} == lender.open_since)
	{
		lender.open_since = _now;
	}
}

void quota_borrower::on_borrow_timeout(account& _account, steady_time _now)
{
	_account.asked_at = steady_time{};
	lender_health& lender = m_lenders[_account.asked_lender];
	if (steady_time{} != lender.open_since && _now - lender.open_since >= k_lender_unresponsive_after)
	{
		lender.skipped_until = _now + k_lender_skip_time;
		lender.open_since = steady_time{};
	}
}

std::optional<quota_request> quota_borrower::next_borrow_request(
    const quota_subject& _subject, const quota_lenders& _lenders, std::size_t _waiting, steady_time _now)
{
	account& entry = decayed_account(_subject.id, _now);
	if (steady_time{} != entry.asked_at)
	{
		if (_now - entry.asked_at < k_lender_response_timeout)
		{
			return std::nullopt;
		}
		on_borrow_timeout(entry, _now);
	}
	const double available = (_now < entry.expires_at ? entry.tokens : 0.0) - entry.fallback_used;
	const double expected = std::floor(entry.per_s * seconds(k_borrow_horizon));
	const bool borrow_ahead = expected >= 1.0 && available < k_borrow_threshold * expected;
	if (_now < entry.pause_until || (0 == _waiting && !borrow_ahead && 0 == entry.fallback_used))
	{
		return std::nullopt;
	}
	const bool skip_first = is_unresponsive(_lenders.first, _now) && 0 != _lenders.backup;
	entry.asked_lender = skip_first ? _lenders.backup : _lenders.first;
	entry.asked_at = _now;
	on_borrow_sent(entry.asked_lender, _now);
	quota_request request;
	request.customer = _subject.id;
	const double wanted = std::max(1.0, static_cast<double>(_waiting) + expected - available);
	request.wanted = static_cast<std::uint16_t>(std::min(wanted, k_max_wanted_tokens));
	entry.wanted = request.wanted;
	request.rank = skip_first ? lender_rank::backup : lender_rank::first;
	return request;
}

void quota_borrower::on_redirect(const quota_grant& _grant, std::uint32_t _first)
{
	m_lenders.erase(_first);
	const auto it = m_accounts.find(_grant.customer);
	if (m_accounts.end() != it)
	{
		it->second.asked_at = steady_time{};
	}
}

void quota_borrower::on_grant(const quota_grant& _grant, std::uint32_t _lender, steady_time _now)
{
	m_lenders.erase(_lender);
	const auto it = m_accounts.find(_grant.customer);
	if (m_accounts.end() == it)
	{
		return;
	}
	account& entry = it->second;
	entry.asked_at = steady_time{};
	if (0 == _grant.granted)
	{
		entry.over_limit = _grant.wait > k_max_shortage_wait;
		entry.pause_until = _now + std::clamp(_grant.wait, k_min_borrow_pause, m_bounds.max_pause);
		return;
	}
	entry.over_limit = entry.over_limit && _grant.granted < entry.wanted;
	const int repaid = std::min<int>(entry.fallback_used, _grant.granted);
	entry.fallback_used -= repaid;
	entry.tokens = (_now < entry.expires_at ? entry.tokens : 0.0) + _grant.granted - repaid;
	entry.expires_at = _now + m_bounds.token_lifetime;
}

void quota_borrower::on_limit_lowered(std::uint64_t _subject, double _part)
{
	const auto it = m_accounts.find(_subject);
	if (m_accounts.end() != it)
	{
		it->second.tokens *= _part;
	}
}

double quota_borrower::quota_retry_delay_s(const quota_subject& _subject) const
{
	const auto it = m_accounts.find(_subject.id);
	if (m_accounts.end() == it)
	{
		return k_quota_retry_after_min_s;
	}
	const account& entry = it->second;
	const double overload = entry.per_s / std::max(1.0, entry.granted_per_s);
	return std::clamp(
	    k_quota_retry_after_min_s * overload, k_quota_retry_after_min_s, k_quota_retry_after_max_s);
}

void quota_borrower::evict_idle(steady_time _now)
{
	for (auto it = m_accounts.begin(); it != m_accounts.end();)
	{
		it = _now - it->second.decayed_at > k_account_idle_timeout ? m_accounts.erase(it) : std::next(it);
	}
}
} // namespace larkrack
