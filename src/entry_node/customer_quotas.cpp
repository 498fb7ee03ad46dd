// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/customer_quotas_p.h"

namespace larkrack
{
namespace
{
/// Maximum time that a request waits for a token. With a longer wait, callers wait in vain while no lender
/// answers. With a shorter one, requests are refused before the backup lender finds the first lender
/// unresponsive.
constexpr std::chrono::milliseconds k_max_token_wait{450};
/// Time between two log lines about one customer, and time without a refusal after which the customer
/// counts as within its limit again.
constexpr std::chrono::seconds k_log_interval{10};
/// Time between two checks for customers with a due log line.
constexpr std::chrono::seconds k_check_interval{1};
} // namespace

customer_quotas::customer_quotas(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
    const fleet_view_base& _fleet, const node_name& _self, entry_log& _log, sender _send)
    : m_clock(_clock), m_fleet(_fleet), m_log(_log), m_send(std::move(_send)),
      m_tokens(_context, _clock, _bounds, k_max_token_wait, _fleet, _self, *this)
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
	if (quota_answer::over_limit == answer)
	{
		on_refused(_customer.id);
	}
	_decided(answer);
}

void customer_quotas::tick()
{
	m_tokens.tick(m_fleet.live_nodes());
	const steady_time now = m_clock.steady();
	if (now - m_checked_at >= k_check_interval)
	{
		m_checked_at = now;
		log_due_refusals(now);
	}
}

void customer_quotas::on_refused(std::uint64_t _id)
{
	const steady_time now = m_clock.steady();
	refusals& entry = m_refusals[_id];
	++entry.count;
	entry.last = now;
	const customer* found = find(_id);
	if (steady_time{} == entry.logged_at && nullptr != found)
	{
		log_refusals(*found, entry, "begins");
	}
}

void customer_quotas::log_refusals(const customer& _customer, refusals& _refusals, const char* _state)
{
	m_log.write(log_line(event::customer_limited)
	                .text("customer", _customer.name.text)
	                .text("state", _state)
	                .number("refused", _refusals.count)
	                .decimal("limit_per_s", _customer.limit.per_s));
	_refusals.count = 0;
	_refusals.logged_at = m_clock.steady();
}

void customer_quotas::log_due_refusals(steady_time _now)
{
	for (auto it = m_refusals.begin(); it != m_refusals.end();)
	{
		refusals& entry = it->second;
		if (_now - entry.logged_at < k_log_interval)
		{
			++it;
			continue;
		}
		const bool ends = _now - entry.last >= k_log_interval;
		if (const customer* found = find(it->first))
		{
			log_refusals(*found, entry, ends ? "ends" : "goes_on");
		}
		it = ends ? m_refusals.erase(it) : std::next(it);
	}
}
} // namespace larkrack
