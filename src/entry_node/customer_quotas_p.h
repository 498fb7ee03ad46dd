// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Customer quotas: tokens for the requests of customers with a rate limit.
///
/// Owns the token exchange and the log of customers above their quota. Relies on the fleet view for the node
/// that lends a customer's tokens, and on entry_node to send datagrams, to pass in received datagrams and to
/// call tick().
#pragma once

#include "entry_node/entry_log_p.h"
#include "entry_node/token_exchange_p.h"
#include "steering/routing_table_p.h"

namespace larkrack
{
/// Interface by which requests of customers with a limit take tokens before they are forwarded.
class quota_admission_base
{
public:
	using handler = token_exchange::handler;

	virtual ~quota_admission_base() = default;
	/// Takes a token, or waits for one.
	/// @param[in] _decided Called exactly once, immediately or later, never with quota_answer::waits.
	virtual void take(const customer& _customer, handler _decided) = 0;
	/// Returns the token of a request that reached no backend server.
	virtual void return_token(const customer& _customer) = 0;
	/// @returns Seconds after which a refused caller of the customer may retry.
	virtual double quota_retry_delay_s(const customer& _customer) const = 0;
};

/// Quotas of customers, shared by all nodes.
class customer_quotas : public quota_admission_base, private token_owner_base
{
public:
	using sender = std::function<void(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)>;

	customer_quotas(asio::io_context& _context, const clock_base& _clock, quota_bounds _bounds,
	    const fleet_view_base& _fleet, const node_name& _self, entry_log& _log, sender _send);

	void take(const customer& _customer, handler _decided) override;
	void return_token(const customer& _customer) override
	{
		m_tokens.return_token(_customer);
	}
	double quota_retry_delay_s(const customer& _customer) const override
	{
		return m_tokens.quota_retry_delay_s(_customer);
	}
	/// Sets the configuration that holds the customers and their limits.
	void set_routes(std::shared_ptr<const routing_table> _routes)
	{
		m_routes = std::move(_routes);
	}
	/// Processes a message of another node.
	void on_message(const quota_message& _message, const std::string& _sender_ip)
	{
		m_tokens.on_message(_message, _sender_ip);
	}
	/// Must be called periodically.
	void tick();
	/// See token_exchange::check_waiting().
	void check_waiting()
	{
		m_tokens.check_waiting();
	}

private:
	/// Refused requests of one customer.
	struct refusals
	{
		std::int64_t count = 0; ///< Since the last log line.
		steady_time logged_at{};
		steady_time last{}; ///< Time of the last refusal.
	};

	std::optional<quota_subject> find_subject(std::uint64_t _id) const override;
	responsible_nodes responsible_for(std::uint64_t _id) const override
	{
		return m_fleet.responsible_for(_id);
	}
	void send(const quota_message& _message, const std::string& _ip) override
	{
		m_send(encode(_message), _ip);
	}
	void on_refused(std::uint64_t _id) override;
	const customer* find(std::uint64_t _id) const;
	void log_refusals(const customer& _customer, refusals& _refusals, const char* _state);
	/// Writes the log lines that are due.
	void log_due_refusals(steady_time _now);

	const clock_base& m_clock;
	const fleet_view_base& m_fleet;
	entry_log& m_log;
	sender m_send;
	token_exchange m_tokens;
	std::shared_ptr<const routing_table> m_routes;
	std::unordered_map<std::uint64_t, refusals> m_refusals;
	steady_time m_checked_at{}; ///< When due log lines were last checked for.
};
} // namespace larkrack
