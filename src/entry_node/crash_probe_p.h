// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Crash probe: distinguishes a crashed backend server from a broken connection.
///
/// Owns the socket and the timer of the connection attempt. Relies on its caller to start a probe after a
/// connection to the backend server broke with a request on it.
///
/// The port of a process that has terminated refuses connections. A link that resets connections, an
/// unreachable node or failure domain, and a backend server that aborts a response do not refuse them. A
/// backend server to which this node still has an idle connection has not terminated either. An attempt that
/// times out proves nothing and counts as no crash.
#pragma once

#include "entry_node/backend_registry_p.h"

#include <boost/asio.hpp>

#include <functional>

namespace larkrack
{
namespace asio = boost::asio;

/// Attempts one connection to a backend server.
class crash_probe : public std::enable_shared_from_this<crash_probe>
{
public:
	/// Called once with whether the backend server has crashed.
	using handler = std::function<void(bool _crashed)>;

	crash_probe(asio::io_context& _context, backend_ptr _backend, handler _handler);
	void start();
	/// Aborts the probe; the handler is not called afterwards.
	void cancel();

private:
	void finish(bool _crashed);

	backend_ptr m_backend;
	handler m_handler;
	asio::ip::tcp::socket m_socket;
	asio::steady_timer m_timer;
};
} // namespace larkrack
