// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Customer quotas: tokens for the requests of customers with a limit.
///
/// Owns the exchange of tokens and the log of customers above their quota. Relies on the fleet for who lends
/// a customer's tokens, and on entry_node to send datagrams, to hand in those that come, and to call tick().
#pragma once

#include "entry_node/entry_log_p.h"
#include "entry_node/token_exchange_p.h"
#include "steering/routing_table_p.h"

namespace larkrack
{
/// What a request of a customer with a limit asks before it goes on.
class quota_gate_base
{
public:
	using handler = token_exchange::handler;

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
class customer_quotas : public quota_gate_base, private token_owner_base
{
public:
	using sender = std::function<void(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)>;

	customer_quotas(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
	    const fleet_view_base& _fleet, const node_name& _self, entry_log& _log, sender _send);

	void take(const customer& _customer, handler _decided) override;
	void give_back(const customer& _customer) override
	{
		m_tokens.give_back(_customer);
	}
	double seconds_to_come_back(const customer& _customer) const override
	{
		return m_tokens.seconds_to_come_back(_customer);
	}
	/// Puts the customers of a configuration in force.
	void set_routes(std::shared_ptr<const routing_table> _routes)
	{
		m_routes = std::move(_routes);
	}
	/// Takes a message of another node.
	void on_message(const quota_message& _message, const std::string& _sender_ip)
	{
		m_tokens.on_message(_message, _sender_ip);
	}
	/// Call it at a steady interval.
	void tick();
	/// See token_exchange::wake().
	void wake()
	{
		m_tokens.wake();
	}

private:
	/// Requests of one customer that were refused since the last line of the log.
	struct refusals
	{
		std::int64_t count = 0;
		steady_time told_at{};
		steady_time last{};
	};

	std::optional<quota_subject> find_subject(std::uint64_t _id) const override;
	quota_holders holders_of(std::uint64_t _id) const override
	{
		return m_fleet.holders_of(_id);
	}
	void send(const quota_message& _message, const std::string& _ip) override
	{
		m_send(encode(_message), _ip);
	}
	void on_refused(std::uint64_t _id) override;
	const customer* find(std::uint64_t _id) const;
	void tell(const customer& _customer, refusals& _refusals, const char* _state);
	void tell_refusals(steady_time _now);

	const clock_base& m_clock;
	const fleet_view_base& m_fleet;
	entry_log& m_log;
	sender m_send;
	token_exchange m_tokens;
	std::shared_ptr<const routing_table> m_routes;
	std::unordered_map<std::uint64_t, refusals> m_refusals;
	steady_time m_looked_at{};
};
} // namespace larkrack
