// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/customer_quotas_p.h"

#include "steering/rendezvous_p.h"

namespace larkrack
{
namespace
{
/// Milliseconds for which a request waits for a token, at most. Longer: callers wait in vain while no lender
/// answers. Shorter: requests are refused before the stand-in has found the first lender silent. Not
/// measured.
constexpr std::chrono::milliseconds k_longest_ask{450};
/// Milliseconds between two looks at requests that wait. Shorter: more wake-ups. Not measured.
constexpr std::chrono::milliseconds k_wake_interval{25};
/// Seconds between two lines about one customer, and without a refusal until its limit counts as kept again.
constexpr std::chrono::seconds k_told_again{10};
/// Seconds between two looks for accounts that nobody uses.
constexpr std::chrono::seconds k_forget_interval{1};

quota_lenders hashes_of(const quota_holders& _holders)
{
	return {_holders.first.name_hash, _holders.stand_in.name_hash};
}
} // namespace

customer_quotas::customer_quotas(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
    const fleet_view_base& _fleet, const node_name& _self, entry_log& _log, sender _send)
    : m_clock(_clock), m_fleet(_fleet), m_log(_log), m_send(std::move(_send)),
      m_borrower(_bounds, rendezvous_weight(_self.text, 0), _clock.steady()),
      m_lender(_bounds, _clock.steady()), m_timer(_context)
{
}

const customer* customer_quotas::find(std::uint64_t _id) const
{
	return m_routes ? m_routes->customers().find_by_id(_id) : nullptr;
}

void customer_quotas::take(const customer& _customer, handler _decided)
{
	const quota_answer answer = m_borrower.take(_customer, m_fleet.sharers().nodes, m_clock.steady());
	if (quota_answer::waits == answer)
	{
		m_waiting[_customer.id].push_back({std::move(_decided), m_clock.steady() + k_longest_ask});
		ask(_customer);
		wake_later();
		return;
	}
	ask(_customer);
	decide(_customer, _decided, answer);
}

void customer_quotas::decide(const customer& _customer, const handler& _decided, quota_answer _answer)
{
	if (quota_answer::over == _answer)
	{
		note_refused(_customer);
	}
	_decided(_answer);
}

void customer_quotas::give_back(const customer& _customer)
{
	m_borrower.give_back(_customer, m_clock.steady());
}

double customer_quotas::seconds_to_come_back(const customer& _customer) const
{
	return m_borrower.seconds_to_come_back(_customer);
}

void customer_quotas::ask(const customer& _customer)
{
	const quota_holders holders = m_fleet.holders_of(_customer.id);
	const auto waiting = m_waiting.find(_customer.id);
	const std::size_t count = m_waiting.end() == waiting ? 0 : waiting->second.size();
	const auto request = m_borrower.due(_customer, hashes_of(holders), count, m_clock.steady());
	if (!request)
	{
		return;
	}
	const quota_holder& holder = lender_rank::first == request->rank ? holders.first : holders.stand_in;
	if (!holder.ip.empty())
	{
		m_send(encode(*request), holder.ip);
		return;
	}
	m_borrower.on_grant(
	    m_lender.lend(_customer, *request, m_clock.steady()), holder.name_hash, m_clock.steady());
	decide_waiting(_customer);
}

void customer_quotas::decide_waiting(const customer& _customer)
{
	const auto it = m_waiting.find(_customer.id);
	if (m_waiting.end() == it)
	{
		return;
	}
	const steady_time now = m_clock.steady();
	const quota_lenders lenders = hashes_of(m_fleet.holders_of(_customer.id));
	std::vector<std::pair<handler, quota_answer>> decided;
	waiting_list& waiting = it->second;
	for (auto one = waiting.begin(); one != waiting.end();)
	{
		quota_answer answer = m_borrower.take_again(_customer, lenders, now);
		if (quota_answer::waits == answer && now >= one->until)
		{
			answer = m_borrower.is_silent(lenders.first, now) ? quota_answer::unknown : quota_answer::over;
		}
		if (quota_answer::waits == answer)
		{
			++one;
			continue;
		}
		decided.emplace_back(std::move(one->decided), answer);
		one = waiting.erase(one);
	}
	if (waiting.empty())
	{
		m_waiting.erase(it);
	}
	// Last, since they may come back here.
	for (const auto& [handler, answer] : decided)
	{
		decide(_customer, handler, answer);
	}
}

void customer_quotas::wake_later()
{
	if (m_wakes || m_waiting.empty())
	{
		return;
	}
	m_wakes = true;
	m_timer.expires_after(k_wake_interval);
	m_timer.async_wait(
	    [this](boost::system::error_code _error)
	    {
		    if (!_error)
		    {
			    wake();
		    }
	    });
}

void customer_quotas::wake()
{
	m_wakes = false;
	std::vector<std::uint64_t> customers;
	for (const auto& [id, waiting] : m_waiting)
	{
		customers.push_back(id);
	}
	for (const std::uint64_t id : customers)
	{
		if (const customer* one = find(id))
		{
			ask(*one);
			decide_waiting(*one);
			continue;
		}
		refuse_unknown(id);
	}
	wake_later();
}

void customer_quotas::refuse_unknown(std::uint64_t _id)
{
	const waiting_list waiting = std::move(m_waiting[_id]);
	m_waiting.erase(_id);
	for (const waiting_request& one : waiting)
	{
		one.decided(quota_answer::unknown);
	}
}

void customer_quotas::on_message(const quota_message& _message, const std::string& _sender_ip)
{
	if (const auto* request = std::get_if<quota_request>(&_message))
	{
		lend(*request, _sender_ip);
		return;
	}
	take_grant(std::get<quota_grant>(_message), _sender_ip);
}

void customer_quotas::take_grant(const quota_grant& _grant, const std::string& _sender_ip)
{
	const customer* one = find(_grant.customer);
	if (nullptr == one)
	{
		return;
	}
	const quota_holders holders = m_fleet.holders_of(one->id);
	const bool from_first = _sender_ip == holders.first.ip;
	const bool from_stand_in = !from_first && _sender_ip == holders.stand_in.ip;
	if (from_stand_in && sends_back(_grant))
	{
		m_borrower.on_sent_back(_grant, holders.first.name_hash);
	}
	else
	{
		const std::uint32_t lender = from_first      ? holders.first.name_hash
		                             : from_stand_in ? holders.stand_in.name_hash
		                                             : 0;
		m_borrower.on_grant(_grant, lender, m_clock.steady());
	}
	decide_waiting(*one);
	ask(*one);
}

void customer_quotas::lend(const quota_request& _request, const std::string& _sender_ip)
{
	const customer* asked = find(_request.customer);
	if (nullptr == asked)
	{
		return; // This node has an older configuration: the other one asks again.
	}
	const quota_holders holders = m_fleet.holders_of(asked->id);
	quota_request request = _request;
	// Also where the other node takes this one for the first: it may know of a change before this one does.
	const bool stands_in = !holders.first.ip.empty();
	if (stands_in)
	{
		request.rank = lender_rank::stand_in;
	}
	if (stands_in && !m_borrower.is_silent(holders.first.name_hash, m_clock.steady()))
	{
		probe(*asked);
		m_send(encode(quota_grant{_request.customer, 0, k_sent_back}), _sender_ip);
		return;
	}
	m_send(encode(m_lender.lend(*asked, request, m_clock.steady())), _sender_ip);
}

void customer_quotas::probe(const customer& _customer)
{
	waiting_list& waiting = m_waiting[_customer.id];
	if (waiting.empty())
	{
		const handler give_back_if_granted = [this, id = _customer.id](quota_answer _answer)
		{
			const customer* one = find(id);
			if (quota_answer::granted == _answer && nullptr != one)
			{
				give_back(*one);
			}
		};
		waiting.push_back({give_back_if_granted, m_clock.steady() + k_longest_ask});
	}
	ask(_customer);
	wake_later();
}

void customer_quotas::tick()
{
	const steady_time now = m_clock.steady();
	const nodes_in_sight nodes = m_fleet.in_sight();
	m_lender.set_nodes(nodes.live, nodes.most);
	if (nodes.version != m_nodes_version)
	{
		m_nodes_version = nodes.version;
		m_lender.on_nodes_changed(now);
	}
	if (now - m_forgot_at < k_forget_interval)
	{
		return;
	}
	m_forgot_at = now;
	m_borrower.forget_idle(now);
	m_lender.forget_idle(now);
	tell_refusals(now);
}

void customer_quotas::note_refused(const customer& _customer)
{
	const steady_time now = m_clock.steady();
	refusals& one = m_refusals[_customer.id];
	++one.count;
	one.last = now;
	if (steady_time{} == one.told_at)
	{
		tell(_customer, one, "begins");
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
