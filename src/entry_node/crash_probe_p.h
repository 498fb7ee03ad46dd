// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Crash probe: tells a backend server that has ended from a connection that broke.
///
/// Owns the connections that are being tried. Relies on its caller to ask after a connection to the backend
/// server broke with a request on it.
///
/// A process that has ended leaves a port that refuses connections; a link that resets connections, a node or
/// a failure domain that is cut off, and a backend server that breaks an answer off do not. One that still
/// has another connection of this node open has not ended either. A silent one tells nothing.
#pragma once

#include "entry_node/backend_registry_p.h"

#include <boost/asio.hpp>

#include <functional>

namespace larkrack
{
namespace asio = boost::asio;

/// Tries one connection to a backend server.
class crash_probe : public std::enable_shared_from_this<crash_probe>
{
public:
	/// Called once, with whether the backend server has ended.
	using handler = std::function<void(bool _ended)>;

	crash_probe(asio::io_context& _context, backend_ptr _backend, handler _handler);
	void start();
	/// Gives it up; the handler is not called any more.
	void cancel();

private:
	void finish(bool _ended);

	backend_ptr m_backend;
	handler m_handler;
	asio::ip::tcp::socket m_socket;
	asio::steady_timer m_timer;
};
} // namespace larkrack
