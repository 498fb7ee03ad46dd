// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Token exchange: requests of this node that wait for a token, and the messages by which nodes borrow and
/// lend tokens. Used for quotas of customers and for limits of backend servers.
///
/// Owns the borrower, the lender and the waiting requests. Relies on its owner for the limits and their
/// lenders, to send messages and to pass in the received ones, and to call tick().
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

/// Interface of a token exchange to its owner.
class token_owner_base
{
public:
	virtual ~token_owner_base() = default;
	/// @returns The limit with that id; nothing when there is none.
	virtual std::optional<quota_subject> find_subject(std::uint64_t _id) const = 0;
	/// @returns The nodes that lend tokens of the limit: the first lender and its backup.
	virtual responsible_nodes responsible_for(std::uint64_t _id) const = 0;
	virtual void send(const quota_message& _message, const std::string& _ip) = 0;
	/// Called for each request that waited for a token and is above the limit.
	virtual void on_refused(std::uint64_t _id) = 0;
};

/// Obtains tokens for the requests of this node, and lends tokens to other nodes.
class token_exchange
{
public:
	using handler = std::function<void(quota_answer)>;

	/// @param[in] _max_wait Maximum time for which a request waits for a token.
	token_exchange(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
	    std::chrono::milliseconds _max_wait, const fleet_view_base& _fleet, const node_name& _self,
	    token_owner_base& _owner);

	/// Takes a token if one is available at this node.
	/// @returns quota_answer::waits when wait() may get a token.
	quota_answer take(const quota_subject& _subject);
	/// Waits for a token; to be called after take() returned quota_answer::waits.
	/// @param[in] _decided Called once, immediately or later, and never with quota_answer::waits.
	void wait(const quota_subject& _subject, handler _decided);
	/// Returns the token of a request that reached no backend server.
	void return_token(const quota_subject& _subject);
	/// Adjusts the borrowed tokens to a limit that was lowered.
	/// @param[in] _part New limit divided by the old one.
	void on_limit_lowered(std::uint64_t _id, double _part)
	{
		m_borrower.on_limit_lowered(_id, _part);
	}
	/// @returns Retry-After for a request above the limit, seconds.
	double quota_retry_delay_s(const quota_subject& _subject) const
	{
		return m_borrower.quota_retry_delay_s(_subject);
	}
	/// Handles a token request or a grant from another node.
	void on_message(const quota_message& _message, const std::string& _sender_ip);
	/// Call it at a steady interval.
	/// @param[in] _nodes Nodes that may lend tokens.
	void tick(const live_node_counts& _nodes);
	/// Asks again for tokens for waiting requests, and ends waits that are over. Called by a timer while any
	/// request waits.
	void check_waiting();

private:
	/// A request that waits for a token, or a probe of the first lender.
	struct waiting_request
	{
		handler decided;
		steady_time until{};
	};
	using waiting_list = std::list<waiting_request>;

	/// Sends a token request to the lender if one is due.
	void request_tokens(const quota_subject& _subject);
	/// Ends the wait of requests whose limit was removed.
	void fail_unknown(std::uint64_t _id);
	/// Requests a token from the first lender of a limit to find out whether that lender answers.
	void probe(const quota_subject& _subject);
	void handle_grant(const quota_grant& _grant, const std::string& _sender_ip);
	void handle_request(const quota_request& _request, const std::string& _sender_ip);
	/// Gives tokens to waiting requests, and ends waits that are over.
	void decide_waiting(const quota_subject& _subject);
	void schedule_wake();

	const clock_base& m_clock;
	std::chrono::milliseconds m_max_wait;
	const fleet_view_base& m_fleet;
	token_owner_base& m_owner;
	quota_borrower m_borrower;
	quota_lender m_lender;
	std::unordered_map<std::uint64_t, waiting_list> m_waiting;
	asio::steady_timer m_timer;
	bool m_wake_scheduled = false;
	std::uint64_t m_nodes_version = 0;
	steady_time m_last_cleanup{};
};
} // namespace larkrack
