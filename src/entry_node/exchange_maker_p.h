// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Makes exchanges: over this node's own connection, or over a relay where the path to the backend server is
/// broken, so that requests do not tell the two ways apart.
///
/// Relies on node_paths for the way.
#pragma once

#include "entry_node/relay_client_p.h"
#include "entry_node/upstream_p.h"

namespace larkrack
{
/// Interface by which requests start exchanges.
class exchange_maker_base
{
public:
	virtual ~exchange_maker_base() = default;
	/// @param[in] _homes Regions that the request must stay in; empty: any.
	/// @param[in] _reports Must outlive the exchange.
	/// @returns An exchange that is not started yet.
	virtual std::shared_ptr<exchange_base> make(const backend_ptr& _backend, upstream_request&& _request,
	    const std::vector<std::string>& _homes, backend_report_listener_base& _reports,
	    exchange_base::handler _handler) = 0;
	/// @returns Whether a path is in doubt, so that a request that reached no backend server may soon.
	virtual bool examining() const = 0;
	/// @returns Whether the path to a backend server is broken or in doubt.
	virtual bool in_doubt(const backend_server& _backend) const = 0;
	/// @returns Promises that the exchanges are checked against.
	virtual promise_ledger& promises() = 0;
};

/// Counters since the start, for the metrics page.
struct exchange_counters
{
	std::uint64_t by_relay = 0;       ///< Exchanges that were started over a relay.
	std::uint64_t relay_refusals = 0; ///< Relays that refused or were not reached.
};

/// Makes exchanges by the state of the paths.
class exchange_maker : public exchange_maker_base, private relay_listener_base
{
public:
	/// @param[in] _on_hop Called with the time that a relay added to an exchange.
	exchange_maker(asio::io_context& _context, const clock_base& _clock, header_names _names,
	    region_name _region, path_steering_base& _paths,
	    std::function<void(steady_time::duration _hop)> _on_hop);
	/// Sets where other nodes listen for relayed requests.
	/// @param[in] _own_address Address from which connections to them are made; empty: any.
	void set_relay_port(std::uint16_t _port, std::string _own_address);
	/// Closes connections to relays that are not needed any more; call it at a regular interval.
	void tick();
	std::shared_ptr<exchange_base> make(const backend_ptr& _backend, upstream_request&& _request,
	    const std::vector<std::string>& _homes, backend_report_listener_base& _reports,
	    exchange_base::handler _handler) override;
	bool examining() const override
	{
		return m_paths.examining();
	}
	bool in_doubt(const backend_server& _backend) const override
	{
		return m_paths.in_doubt(_backend);
	}
	promise_ledger& promises() override
	{
		return m_promises;
	}
	/// @returns Ledger of what this process holds for its connections.
	const memory_ledger_ptr& memory() const
	{
		return m_memory;
	}
	const header_names& names() const
	{
		return m_names;
	}
	const exchange_counters& counters() const
	{
		return m_counters;
	}

private:
	void on_relay_refused(const std::string& _ip) override;
	void on_relayed(steady_time::duration _hop) override;

	memory_ledger_ptr m_memory = std::make_shared<memory_ledger>();
	asio::io_context& m_context;
	const clock_base& m_clock;
	header_names m_names;
	region_name m_region;
	path_steering_base& m_paths;
	std::function<void(steady_time::duration)> m_on_hop;
	relay_connections m_connections;
	steady_time m_last_relayed_at{}; ///< Epoch: no connection to a relay is open.
	exchange_counters m_counters;
	promise_ledger m_promises;
};
} // namespace larkrack
