// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Exchange over another node: the request is sent to a node that can reach the backend server, which sends
/// it there and returns the result. The node that the caller uses keeps all decisions: it chooses the backend
/// server, counts the request as in flight, pays for retries and applies the reports of the backend server.
///
/// | what happens | the exchange ends as |
/// | --- | --- |
/// | the relay is not reached, refuses as not sent, or is of another version | not_sent, relay_failed |
/// | the relay answers with a status that promises nothing, such as 408, or to another request | lost |
/// | the relay could not connect to the backend server, or it accepts no requests | not_sent |
/// | the relay passes on a rejection that proves that the backend server did not run the request | not_run |
/// | the relay calls the request not run and shows no such rejection | lost |
/// | the connection to the relay breaks once a byte of the request was sent | lost |
/// | the relay's connection to the backend server breaks | lost |
/// | deadline, or the caller left | cancelled: the relay sees its connection close and cancels too |
///
/// Owns the idle connections to other nodes. Relies on relay_server at the other node.
#pragma once

#include "entry_node/relay_messages_p.h"

#include "base/http_p.h"
#include "steering/relay_verdict_p.h"

namespace larkrack
{
/// Connections to the listeners of other nodes.
struct relay_connections
{
	explicit relay_connections(asio::io_context& _context) : pool(_context.get_executor())
	{
	}
	connection_pool pool;
	std::uint16_t port = 0;  ///< Port of the listeners for other nodes; 0: there are none.
	std::string own_address; ///< Address from which connections are made; empty: any.
};

/// Receives what happens to relayed exchanges.
class relay_listener_base
{
public:
	virtual ~relay_listener_base() = default;
	/// A relay refused the request or was not reached.
	virtual void on_relay_refused(const std::string& _ip) = 0;
	/// A relayed exchange ended with a result of the relay.
	/// @param[in] _hop Time that the way to the relay and back added.
	virtual void on_relayed(steady_time::duration _hop) = 0;
};

/// Sends one request over one relay.
class relay_exchange : public exchange_base,
                       private memory_holder_base,
                       public std::enable_shared_from_this<relay_exchange>
{
public:
	/// @param[in] _connections Must outlive the exchange, as must all of the services and the listener.
	relay_exchange(const exchange_services& _services, relay_connections& _connections,
	    relay_listener_base& _listener, std::string _relay_ip, backend_ptr _backend,
	    upstream_request _request, std::chrono::milliseconds _connect_timeout, handler _handler);
	void start() override;
	void cancel(std::chrono::milliseconds _linger) override;
	bool sent() const override
	{
		return m_sent;
	}
	const backend_ptr& backend() const override
	{
		return m_backend;
	}
	const std::string& relay() const override
	{
		return m_relay_ip;
	}

private:
	void connect();
	void write();
	void read();
	/// Reads more of the response.
	void read_more();
	void fail_read();
	void end_for_memory() override;
	void on_response();
	relay_marks marks_of(const http::response_header<>& _head) const;
	/// Handles a response that holds no result.
	void on_refusal(relay_verdict _verdict);
	/// Judges the result of a relay by the head of the backend server's answer, as for an answer of its own:
	/// a relay of another version may believe more.
	void judge(exchange_result& _result) const;
	void fail_relay(const char* _detail);
	void fail(exchange_outcome _end, const char* _detail, backend_signal _signal);
	void finish(exchange_result&& _result, backend_signal _signal);
	void close();

	exchange_services m_services;
	relay_connections& m_connections;
	relay_listener_base& m_listener;
	std::string m_relay_ip;
	backend_ptr m_backend;
	upstream_request m_request;
	std::chrono::milliseconds m_connect_timeout;
	handler m_handler;
	asio::steady_timer m_timer;
	report_reader m_reports;
	std::shared_ptr<client_connection> m_connection;
	std::string m_message; ///< Head of the HTTP request, and its body up to that of the relayed request.
	memory_claim m_memory;
	std::optional<http::response_parser<http::string_body>> m_parser;
	steady_time m_sent_at{};
	bool m_on_kept_connection = false;
	bool m_sent = false;
	bool m_written = false; ///< The whole message was sent.
	bool m_done = false;
};
} // namespace larkrack
