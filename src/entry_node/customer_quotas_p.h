// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Customer quotas: tokens for the requests of this node, and tokens lent to other nodes.
///
/// Owns the borrower, the lender and the requests that wait for a token. Relies on the fleet for who lends a
/// customer's tokens, and on entry_node to send datagrams, to hand in those that come, and to call tick().
#pragma once

#include "entry_node/entry_log_p.h"
#include "entry_node/quota_messages_p.h"
#include "steering/fleet_view_p.h"
#include "steering/quota_borrower_p.h"
#include "steering/quota_lender_p.h"
#include "steering/routing_table_p.h"

#include <boost/asio.hpp>

#include <functional>
#include <list>

namespace larkrack
{
namespace asio = boost::asio;

/// What a request of a customer with a limit asks before it goes on.
class quota_gate_base
{
public:
	using handler = std::function<void(quota_answer)>;

	virtual ~quota_gate_base() = default;
	/// Takes a token, or waits for one.
	/// @param[in] _decided Called once, at once or later, and never with quota_answer::waits.
	virtual void take(const customer& _customer, handler _decided) = 0;
	/// Takes back the token of a request that reached no backend server.
	virtual void give_back(const customer& _customer) = 0;
	/// @returns Seconds after which a refused caller of the customer may come back.
	virtual double seconds_to_come_back(const customer& _customer) const = 0;
};

/// Quotas over all nodes.
class customer_quotas : public quota_gate_base
{
public:
	using sender = std::function<void(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)>;

	customer_quotas(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
	    const fleet_view_base& _fleet, const node_name& _self, entry_log& _log, sender _send);

	void take(const customer& _customer, handler _decided) override;
	void give_back(const customer& _customer) override;
	double seconds_to_come_back(const customer& _customer) const override;
	/// Puts the customers of a configuration in force.
	void set_routes(std::shared_ptr<const routing_table> _routes)
	{
		m_routes = std::move(_routes);
	}
	/// Takes a message of another node.
	void on_message(const quota_message& _message, const std::string& _sender_ip);
	/// Call it at a steady interval.
	void tick();
	/// Asks again for requests that wait, and ends waits that are over. A timer calls it while any waits.
	void wake();

private:
	/// A request that waits for a token.
	struct waiting_request
	{
		handler decided;
		steady_time until{};
	};
	/// Requests of one customer that were refused since the last line of the log.
	struct refusals
	{
		std::int64_t count = 0;
		steady_time told_at{};
		steady_time last{};
	};
	using waiting_list = std::list<waiting_request>;

	const customer* find(std::uint64_t _id) const;
	void decide(const customer& _customer, const handler& _decided, quota_answer _answer);
	/// Asks the lender if a question is due.
	void ask(const customer& _customer);
	/// Ends the wait of requests whose customer is gone.
	void refuse_unknown(std::uint64_t _id);
	/// Finds out whether the first lender of a customer answers.
	void probe(const customer& _customer);
	void take_grant(const quota_grant& _grant, const std::string& _sender_ip);
	void lend(const quota_request& _request, const std::string& _sender_ip);
	/// Decides on the requests of a customer that wait.
	void decide_waiting(const customer& _customer);
	void wake_later();
	void note_refused(const customer& _customer);
	void tell(const customer& _customer, refusals& _refusals, const char* _state);
	void tell_refusals(steady_time _now);

	const clock_base& m_clock;
	const fleet_view_base& m_fleet;
	entry_log& m_log;
	sender m_send;
	quota_borrower m_borrower;
	quota_lender m_lender;
	std::shared_ptr<const routing_table> m_routes;
	std::unordered_map<std::uint64_t, waiting_list> m_waiting;
	std::unordered_map<std::uint64_t, refusals> m_refusals;
	asio::steady_timer m_timer;
	bool m_wakes = false;
	std::uint64_t m_nodes_version = 0;
	steady_time m_forgot_at{};
};
} // namespace larkrack
