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
/// Part of the overage that nodes share without tokens, no unit. The rest is for the tokens that nodes hold
/// and for a stand-in that lends beside a slow lender. With half of it and a stand-in that lends the whole
/// rate, a customer that asked for ten times its limit was served 3% above the bounds in a window; with 0.4,
/// faults at random in a model took one 1% above.
constexpr double k_doubt_of_overage = 0.2;
/// Part of the slack that nodes share without tokens, no unit. The rest is depth of the bucket, of one lender
/// and of another one after it: with 0.75, nodes that were cut off and died at random took a customer with a
/// limit of a few requests 1 to 5% above the bounds.
constexpr double k_doubt_of_slack = 0.3;
/// Part of the tokens for the horizon below which more are borrowed. Higher: more messages. Lower: requests
/// wait. Not measured.
constexpr double k_borrow_below = 0.5;
/// Most tokens of one question; the field has 16 bits.
constexpr double k_most_wanted = 10000.0;
/// Shortest and longest time that a customer above its limit is told, seconds: sooner, most callers meet the
/// same refusal; later, callers of a customer whose surge is over stay away. Not measured.
constexpr double k_back_first_s = 0.5;
constexpr double k_back_last_s = 4.0; ///< See above.

double seconds(steady_time::duration _time)
{
	return std::chrono::duration<double>(_time).count();
}
} // namespace

quota_borrower::account& quota_borrower::counted(std::uint64_t _subject, steady_time _now)
{
	account& one = m_accounts[_subject];
	const double memory_s = seconds(k_account_rate_memory);
	const double kept = steady_time{} == one.counted_at
	                        ? 0.0
	                        : std::exp(-std::max(0.0, seconds(_now - one.counted_at)) / memory_s);
	one.per_s *= kept;
	one.granted_per_s *= kept;
	one.counted_at = _now;
	return one;
}

bool quota_borrower::spend(account& _account, steady_time _now)
{
	if (_now >= _account.void_at)
	{
		_account.tokens = 0.0;
	}
	if (_account.tokens < 1.0)
	{
		return false;
	}
	_account.tokens -= 1.0;
	_account.granted_per_s += 1.0 / seconds(k_account_rate_memory);
	return true;
}

quota_answer quota_borrower::take(const quota_subject& _subject, double _nodes, steady_time _now)
{
	account& one = counted(_subject.id, _now);
	one.per_s += 1.0 / seconds(k_account_rate_memory);
	if (spend(one, _now))
	{
		return quota_answer::granted;
	}
	if (refuses(one, _now))
	{
		return quota_answer::over;
	}
	return spend_in_doubt(one, _subject, _nodes, _now) ? quota_answer::granted : quota_answer::waits;
}

bool quota_borrower::refuses(const account& _account, steady_time _now)
{
	// Once the pause is over, one request waits for the next answer; the others would only wait with it.
	return _account.over && (_now < _account.pause_until || steady_time{} != _account.asked_at);
}

quota_answer quota_borrower::take_again(
    const quota_subject& _subject, const quota_lenders& _lenders, steady_time _now)
{
	account& one = counted(_subject.id, _now);
	if (spend(one, _now))
	{
		return quota_answer::granted;
	}
	if (_now < one.pause_until && one.over)
	{
		return quota_answer::over;
	}
	const bool nobody =
	    is_silent(_lenders.first, _now) && (0 == _lenders.stand_in || is_silent(_lenders.stand_in, _now));
	return nobody ? quota_answer::unknown : quota_answer::waits;
}

bool quota_borrower::is_silent(std::uint32_t _lender, steady_time _now) const
{
	const auto it = m_lenders.find(_lender);
	return m_lenders.end() != it && _now < it->second.passed_over_until;
}

bool quota_borrower::spend_in_doubt(
    account& _account, const quota_subject& _subject, double _nodes, steady_time _now) const
{
	if (_now - m_started_at < m_bounds.window)
	{
		return false;
	}
	// Only once the whole window lies behind the last one: any shorter span could hold twice as many.
	if (_now - _account.last_doubt > m_bounds.window)
	{
		_account.in_doubt = 0;
	}
	const double in_window = _subject.limit.per_s * seconds(m_bounds.window) + _subject.limit.burst;
	const double all = k_doubt_of_overage * m_bounds.overage * in_window + k_doubt_of_slack * m_bounds.slack;
	const double mine = all / std::max(1.0, _nodes);
	const double rounding = unit_interval(_subject.id ^ m_node_hash);
	if (_account.in_doubt + 1 > std::floor(mine + rounding))
	{
		return false;
	}
	++_account.in_doubt;
	_account.last_doubt = _now;
	return true;
}

void quota_borrower::give_back(const quota_subject& _subject, steady_time _now)
{
	const auto it = m_accounts.find(_subject.id);
	if (m_accounts.end() != it && _now < it->second.void_at)
	{
		it->second.tokens += 1.0;
	}
}

void quota_borrower::note_asked(std::uint32_t _lender, steady_time _now)
{
	lender_health& lender = m_lenders[_lender];
	if (steady_time{} == lender.open_since)
	{
		lender.open_since = _now;
	}
}

void quota_borrower::note_unanswered(account& _account, steady_time _now)
{
	_account.asked_at = steady_time{};
	lender_health& lender = m_lenders[_account.asked];
	if (steady_time{} != lender.open_since && _now - lender.open_since >= k_lender_silent)
	{
		lender.passed_over_until = _now + k_passed_over;
		lender.open_since = steady_time{};
	}
}

std::optional<quota_request> quota_borrower::due(
    const quota_subject& _subject, const quota_lenders& _lenders, std::size_t _waiting, steady_time _now)
{
	account& one = counted(_subject.id, _now);
	if (steady_time{} != one.asked_at)
	{
		if (_now - one.asked_at < k_answer_time)
		{
			return std::nullopt;
		}
		note_unanswered(one, _now);
	}
	const double held = (_now < one.void_at ? one.tokens : 0.0) - one.in_doubt;
	const double ahead = std::floor(one.per_s * seconds(k_horizon));
	const bool ahead_of_need = ahead >= 1.0 && held < k_borrow_below * ahead;
	if (_now < one.pause_until || (0 == _waiting && !ahead_of_need && 0 == one.in_doubt))
	{
		return std::nullopt;
	}
	const bool passed_over = is_silent(_lenders.first, _now) && 0 != _lenders.stand_in;
	one.asked = passed_over ? _lenders.stand_in : _lenders.first;
	one.asked_at = _now;
	note_asked(one.asked, _now);
	quota_request request;
	request.customer = _subject.id;
	const double wanted = std::max(1.0, static_cast<double>(_waiting) + ahead - held);
	request.wanted = static_cast<std::uint16_t>(std::min(wanted, k_most_wanted));
	one.wanted = request.wanted;
	request.rank = passed_over ? lender_rank::stand_in : lender_rank::first;
	return request;
}

void quota_borrower::on_sent_back(const quota_grant& _grant, std::uint32_t _first)
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
	account& one = it->second;
	one.asked_at = steady_time{};
	if (0 == _grant.granted)
	{
		one.over = _grant.wait > k_short_wait;
		one.pause_until = _now + std::clamp(_grant.wait, k_least_pause, m_bounds.longest_pause);
		return;
	}
	one.over = one.over && _grant.granted < one.wanted;
	const int made_up = std::min<int>(one.in_doubt, _grant.granted);
	one.in_doubt -= made_up;
	one.tokens = (_now < one.void_at ? one.tokens : 0.0) + _grant.granted - made_up;
	one.void_at = _now + m_bounds.token_life;
}

void quota_borrower::on_limit_fell(std::uint64_t _subject, double _part)
{
	const auto it = m_accounts.find(_subject);
	if (m_accounts.end() != it)
	{
		it->second.tokens *= _part;
	}
}

double quota_borrower::seconds_to_come_back(const quota_subject& _subject) const
{
	const auto it = m_accounts.find(_subject.id);
	if (m_accounts.end() == it)
	{
		return k_back_first_s;
	}
	const account& one = it->second;
	const double above = one.per_s / std::max(1.0, one.granted_per_s);
	return std::clamp(k_back_first_s * above, k_back_first_s, k_back_last_s);
}

void quota_borrower::forget_idle(steady_time _now)
{
	for (auto it = m_accounts.begin(); it != m_accounts.end();)
	{
		it = _now - it->second.counted_at > k_account_kept ? m_accounts.erase(it) : std::next(it);
	}
}
} // namespace larkrack
