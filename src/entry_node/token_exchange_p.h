// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Token exchange: requests of this node that wait for a token, and the questions and answers of nodes that
/// borrow and lend. The same for quotas of customers and for limits of backend servers.
///
/// Owns the borrower, the lender and the requests that wait. Relies on its owner to know the limits and who
/// lends, to send messages and to hand in those that come, and to call tick().
#pragma once

#include "entry_node/quota_messages_p.h"
#include "steering/fleet_view_p.h"
#include "steering/quota_borrower_p.h"
#include "steering/quota_lender_p.h"

#include <boost/asio.hpp>

#include <functional>
#include <list>

namespace larkrack
{
namespace asio = boost::asio;

/// What a token exchange asks of its owner.
class token_owner_base
{
public:
	virtual ~token_owner_base() = default;
	/// @returns Nothing when there is no such limit.
	virtual std::optional<quota_subject> find_subject(std::uint64_t _id) const = 0;
	virtual quota_holders holders_of(std::uint64_t _id) const = 0;
	virtual void send(const quota_message& _message, const std::string& _ip) = 0;
	/// Takes note of a request that waited and is above the limit.
	virtual void on_refused(std::uint64_t _id) = 0;
};

/// Takes tokens for requests, and lends tokens.
class token_exchange
{
public:
	using handler = std::function<void(quota_answer)>;

	/// @param[in] _longest_ask Time for which a request waits for a token, at most.
	token_exchange(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
	    std::chrono::milliseconds _longest_ask, const fleet_view_base& _fleet, const node_name& _self,
	    token_owner_base& _owner);

	/// Takes a token that is at hand.
	/// @returns quota_answer::waits when wait() may get one.
	quota_answer take(const quota_subject& _subject);
	/// Waits for a token, after take() has told so.
	/// @param[in] _decided Called once, at once or later, and never with quota_answer::waits.
	void wait(const quota_subject& _subject, handler _decided);
	/// Takes back the token of a request that reached no backend server.
	void give_back(const quota_subject& _subject);
	/// Takes a limit that fell to a part of what it was.
	void on_limit_fell(std::uint64_t _id, double _part)
	{
		m_borrower.on_limit_fell(_id, _part);
	}
	double seconds_to_come_back(const quota_subject& _subject) const
	{
		return m_borrower.seconds_to_come_back(_subject);
	}
	/// Takes a message of another node.
	void on_message(const quota_message& _message, const std::string& _sender_ip);
	/// Call it at a steady interval.
	/// @param[in] _nodes Nodes that may lend.
	void tick(const nodes_in_sight& _nodes);
	/// Asks again for requests that wait, and ends waits that are over. A timer calls it while any waits.
	void wake();

private:
	/// A request that waits for a token.
	struct waiting_request
	{
		handler decided;
		steady_time until{};
	};
	using waiting_list = std::list<waiting_request>;

	/// Asks the lender if a question is due.
	void ask(const quota_subject& _subject);
	/// Ends the wait of requests whose limit is gone.
	void refuse_unknown(std::uint64_t _id);
	/// Finds out whether the first lender of a limit answers.
	void probe(const quota_subject& _subject);
	void take_grant(const quota_grant& _grant, const std::string& _sender_ip);
	void lend(const quota_request& _request, const std::string& _sender_ip);
	/// Decides on the requests that wait.
	void decide_waiting(const quota_subject& _subject);
	void wake_later();

	const clock_base& m_clock;
	std::chrono::milliseconds m_longest_ask;
	const fleet_view_base& m_fleet;
	token_owner_base& m_owner;
	quota_borrower m_borrower;
	quota_lender m_lender;
	std::unordered_map<std::uint64_t, waiting_list> m_waiting;
	asio::steady_timer m_timer;
	bool m_wakes = false;
	std::uint64_t m_nodes_version = 0;
	steady_time m_forgot_at{};
};
} // namespace larkrack
