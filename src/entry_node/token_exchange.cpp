// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/token_exchange_p.h"

#include "steering/rendezvous_p.h"

namespace larkrack
{
namespace
{
/// Interval between two checks of waiting requests, milliseconds. Shorter: more wake-ups.
constexpr std::chrono::milliseconds k_poll_interval{25};
/// Interval between two removals of idle accounts, seconds.
constexpr std::chrono::seconds k_cleanup_interval{1};

quota_lenders lender_hashes(const responsible_nodes& _holders)
{
	return {_holders.first.name_hash, _holders.backup.name_hash};
}
} // namespace

token_exchange::token_exchange(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
    std::chrono::milliseconds _max_wait, const fleet_view_base& _fleet, const node_name& _self,
    token_owner_base& _owner)
    : m_clock(_clock), m_max_wait(_max_wait), m_fleet(_fleet), m_owner(_owner),
      m_borrower(_bounds, rendezvous_weight(_self.text, 0), _clock.steady()),
      m_lender(_bounds, _clock.steady()), m_timer(_context)
{
}

quota_answer token_exchange::take(const quota_subject& _subject)
{
	const quota_answer answer = m_borrower.take(_subject, m_fleet.sharers().nodes, m_clock.steady());
	if (quota_answer::waits != answer)
	{
		request_tokens(_subject);
	}
	return answer;
}

void token_exchange::wait(const quota_subject& _subject, handler _decided)
{
	m_waiting[_subject.id].push_back({std::move(_decided), m_clock.steady() + m_max_wait});
	request_tokens(_subject);
	schedule_wake();
}

void token_exchange::return_token(const quota_subject& _subject)
{
	m_borrower.return_token(_subject, m_clock.steady());
}

void token_exchange::request_tokens(const quota_subject& _subject)
{
	const responsible_nodes holders = m_owner.responsible_for(_subject.id);
	if (0 == holders.first.name_hash)
	{
		return; // No node lends: the wait ends with the answer that holds without a lender.
	}
	const auto waiting = m_waiting.find(_subject.id);
	const std::size_t count = m_waiting.end() == waiting ? 0 : waiting->second.size();
	const auto request =
	    m_borrower.next_borrow_request(_subject, lender_hashes(holders), count, m_clock.steady());
	if (!request)
	{
		return;
	}
	const responsible_node& holder = lender_rank::first == request->rank ? holders.first : holders.backup;
	if (!holder.ip.empty())
	{
		m_owner.send(*request, holder.ip);
		return;
	}
	m_borrower.on_grant(
	    m_lender.lend(_subject, *request, m_clock.steady()), holder.name_hash, m_clock.steady());
	decide_waiting(_subject);
}

void token_exchange::decide_waiting(const quota_subject& _subject)
{
	const auto it = m_waiting.find(_subject.id);
	if (m_waiting.end() == it)
	{
		return;
	}
	const steady_time now = m_clock.steady();
	const quota_lenders lenders = lender_hashes(m_owner.responsible_for(_subject.id));
	std::vector<std::pair<handler, quota_answer>> decided;
	waiting_list& waiting = it->second;
	for (auto request = waiting.begin(); request != waiting.end();)
	{
		quota_answer answer = m_borrower.retry_take(_subject, lenders, now);
		if (quota_answer::waits == answer && now >= request->until)
		{
			answer = m_borrower.is_unresponsive(lenders.first, now) ? quota_answer::unknown
			                                                        : quota_answer::over_limit;
		}
		if (quota_answer::waits == answer)
		{
			++request;
			continue;
		}
		decided.emplace_back(std::move(request->decided), answer);
		request = waiting.erase(request);
	}
	if (waiting.empty())
	{
		m_waiting.erase(it);
	}
	// The handlers run last, since they may call this function again.
	for (const auto& [handler, answer] : decided)
	{
		if (quota_answer::over_limit == answer)
		{
			m_owner.on_refused(_subject.id);
		}
		handler(answer);
	}
}

void token_exchange::schedule_wake()
{
	if (m_wake_scheduled || m_waiting.empty())
	{
		return;
	}
	m_wake_scheduled = true;
	m_timer.expires_after(k_poll_interval);
	m_timer.async_wait(
	    [this](boost::system::error_code _error)
	    {
		    if (!_error)
		    {
			    check_waiting();
		    }
	    });
}

void token_exchange::check_waiting()
{
	m_wake_scheduled = false;
	std::vector<std::uint64_t> ids;
	for (const auto& [id, waiting] : m_waiting)
	{
		ids.push_back(id);
	}
	for (const std::uint64_t id : ids)
	{
		if (const std::optional<quota_subject> subject = m_owner.find_subject(id))
		{
			request_tokens(*subject);
			decide_waiting(*subject);
			continue;
		}
		fail_unknown(id);
	}
	schedule_wake();
}

void token_exchange::fail_unknown(std::uint64_t _id)
{
	const waiting_list waiting = std::move(m_waiting[_id]);
	m_waiting.erase(_id);
	for (const waiting_request& request : waiting)
	{
		request.decided(quota_answer::unknown);
	}
}

void token_exchange::on_message(const quota_message& _message, const std::string& _sender_ip)
{
	if (const auto* request = std::get_if<quota_request>(&_message))
	{
		handle_request(*request, _sender_ip);
		return;
	}
	handle_grant(std::get<quota_grant>(_message), _sender_ip);
}

void token_exchange::handle_grant(const quota_grant& _grant, const std::string& _sender_ip)
{
	const std::optional<quota_subject> subject = m_owner.find_subject(_grant.customer);
	if (!subject)
	{
		return;
	}
	const responsible_nodes holders = m_owner.responsible_for(subject->id);
	const bool from_first = _sender_ip == holders.first.ip;
	const bool from_backup = !from_first && _sender_ip == holders.backup.ip;
	if (from_backup && is_redirect(_grant))
	{
		m_borrower.on_redirect(_grant, holders.first.name_hash);
	}
	else
	{
		const std::uint32_t lender = from_first    ? holders.first.name_hash
		                             : from_backup ? holders.backup.name_hash
		                                           : 0;
		m_borrower.on_grant(_grant, lender, m_clock.steady());
	}
	decide_waiting(*subject);
	request_tokens(*subject);
}

void token_exchange::handle_request(const quota_request& _request, const std::string& _sender_ip)
{
	const std::optional<quota_subject> subject = m_owner.find_subject(_request.customer);
	if (!subject)
	{
		return; // This node has an older configuration; the other node asks again.
	}
	const responsible_nodes holders = m_owner.responsible_for(subject->id);
	quota_request request = _request;
	// Also if the other node takes this node for the first lender: it may know of a change of nodes earlier.
	const bool stands_in = !holders.first.ip.empty();
	if (stands_in)
	{
		request.rank = lender_rank::backup;
	}
	if (stands_in && !m_borrower.is_unresponsive(holders.first.name_hash, m_clock.steady()))
	{
		probe(*subject);
		m_owner.send(quota_grant{_request.customer, 0, k_redirect_wait}, _sender_ip);
		return;
	}
	m_owner.send(m_lender.lend(*subject, request, m_clock.steady()), _sender_ip);
}

void token_exchange::probe(const quota_subject& _subject)
{
	waiting_list& waiting = m_waiting[_subject.id];
	if (waiting.empty())
	{
		const handler return_if_granted = [this, id = _subject.id](quota_answer _answer)
		{
			const std::optional<quota_subject> subject = m_owner.find_subject(id);
			if (quota_answer::granted == _answer && subject)
			{
				return_token(*subject);
			}
		};
		waiting.push_back({return_if_granted, m_clock.steady() + m_max_wait});
	}
	request_tokens(_subject);
	schedule_wake();
}

void token_exchange::tick(const live_node_counts& _nodes)
{
	const steady_time now = m_clock.steady();
	m_lender.set_nodes(_nodes.live, _nodes.most);
	if (_nodes.version != m_nodes_version)
	{
		m_nodes_version = _nodes.version;
		m_lender.on_nodes_changed(now);
	}
	if (now - m_last_cleanup < k_cleanup_interval)
	{
		return;
	}
	m_last_cleanup = now;
	m_borrower.evict_idle(now);
	m_lender.evict_idle(now);
}
} // namespace larkrack
