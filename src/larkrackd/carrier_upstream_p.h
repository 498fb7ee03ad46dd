// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// State of one exchange with a backend server or another entry VM, shared by carrier_upstream.cpp and
/// carrier_deliver.cpp.
/// Owns: the upstream connection and, for a backend server, the slot; carrier::finish() and
/// carrier::abandon() release both.
#pragma once

#include "larkrackd/carrier_p.h"

#include <deque>

namespace larkrack
{
/// One exchange. Shared by the coroutine that writes to the caller and the coroutine that reads ahead.
struct carrier::upstream
{
	explicit upstream(connection_ptr _connection, endpoint _where)
	    : connection(std::move(_connection)), where(std::move(_where))
	{
		parser.body_limit(k_unlimited_body_bytes);
	}

	connection_ptr connection;
	endpoint where;
	http::response_parser<http::buffer_body> parser;
	std::optional<ticket> slot; ///< Empty for exchanges with entry VMs.
	std::string id;
	std::string backend;   ///< Name of the backend server, or the one that an entry VM returned.
	steady_time expires{}; ///< From this time on the backend server no longer runs the request.
	bool finished = false; ///< Slot and connection were released.
	bool caller_gone = false;
	bool sent = false; ///< Request bytes may have been sent.
};

/// Queue of response pieces that were read from upstream and not yet sent to the caller.
struct carrier::read_ahead
{
	explicit read_ahead(asio::io_context& _context) : changed(_context)
	{
	}
	std::deque<std::string> pieces;
	std::size_t bytes = 0;
	bool done = false;    ///< The whole response was read.
	bool failed = false;  ///< Upstream failed before the end of the response.
	bool stopped = false; ///< The caller is gone.
	asio::steady_timer changed;

	/// Wakes the coroutine that waits for a change.
	void notify()
	{
		changed.cancel();
	}
	/// Waits until something changes.
	void wait(const yield_context& _yield)
	{
		changed.expires_at(std::chrono::steady_clock::time_point::max());
		// The error code does not matter: callers check the state after each wake-up.
		boost::system::error_code ignored;
		changed.async_wait(_yield[ignored]);
	}
};

/// Removes the hop-by-hop header fields.
void erase_hop_by_hop_fields(http::fields& _fields);
} // namespace larkrack
