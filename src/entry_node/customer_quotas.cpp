// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/customer_quotas_p.h"

namespace larkrack
{
namespace
{
/// Milliseconds for which a request waits for a token, at most. Longer: callers wait in vain while no lender
/// answers. Shorter: requests are refused before the stand-in has found the first lender silent. Not
/// measured.
constexpr std::chrono::milliseconds k_longest_ask{450};
/// Seconds between two lines about one customer, and without a refusal until its limit counts as kept again.
constexpr std::chrono::seconds k_told_again{10};
/// Seconds between two looks for customers of whom a line is due.
constexpr std::chrono::seconds k_look_interval{1};
} // namespace

customer_quotas::customer_quotas(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
    const fleet_view_base& _fleet, const node_name& _self, entry_log& _log, sender _send)
    : m_clock(_clock), m_fleet(_fleet), m_log(_log), m_send(std::move(_send)),
      m_tokens(_context, _clock, _bounds, k_longest_ask, _fleet, _self, *this)
{
}

const customer* customer_quotas::find(std::uint64_t _id) const
{
	return m_routes ? m_routes->customers().find_by_id(_id) : nullptr;
}

std::optional<quota_subject> customer_quotas::find_subject(std::uint64_t _id) const
{
	const customer* found = find(_id);
	return nullptr == found ? std::nullopt : std::optional<quota_subject>(*found);
}

void customer_quotas::take(const customer& _customer, handler _decided)
{
	const quota_answer answer = m_tokens.take(_customer);
	if (quota_answer::waits == answer)
	{
		m_tokens.wait(_customer, std::move(_decided));
		return;
	}
	if (quota_answer::over == answer)
	{
		on_refused(_customer.id);
	}
	_decided(answer);
}

void customer_quotas::tick()
{
	m_tokens.tick(m_fleet.in_sight());
	const steady_time now = m_clock.steady();
	if (now - m_looked_at >= k_look_interval)
	{
		m_looked_at = now;
		tell_refusals(now);
	}
}

void customer_quotas::on_refused(std::uint64_t _id)
{
	const steady_time now = m_clock.steady();
	refusals& one = m_refusals[_id];
	++one.count;
	one.last = now;
	const customer* whose = find(_id);
	if (steady_time{} == one.told_at && nullptr != whose)
	{
		tell(*whose, one, "begins");
	}
}

void customer_quotas::tell(const customer& _customer, refusals& _refusals, const char* _state)
{
	m_log.write(log_line(event::customer_limited)
	                .text("customer", _customer.name.text)
	                .text("state", _state)
	                .number("refused", _refusals.count)
	                .decimal("limit_per_s", _customer.limit.per_s));
	_refusals.count = 0;
	_refusals.told_at = m_clock.steady();
}

void customer_quotas::tell_refusals(steady_time _now)
{
	for (auto it = m_refusals.begin(); it != m_refusals.end();)
	{
		refusals& one = it->second;
		if (_now - one.told_at < k_told_again)
		{
			++it;
			continue;
		}
		const bool ends = _now - one.last >= k_told_again;
		if (const customer* whose = find(it->first))
		{
			tell(*whose, one, ends ? "ends" : "goes_on");
		}
		it = ends ? m_refusals.erase(it) : std::next(it);
	}
}
} // namespace larkrack
