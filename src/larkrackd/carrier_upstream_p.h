// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// State of one exchange with a backend server or another entry VM, for the files of the carrier that make
/// exchanges and deliver answers. An exchange owns its connection and, towards a backend server, the slot:
/// whoever ends it gives both back.
#pragma once

#include "larkrackd/carrier_p.h"

#include <deque>

namespace larkrack
{
/// One exchange. Shared by the coroutine that writes to the caller and the one that reads ahead.
struct carrier::upstream
{
	explicit upstream(connection_ptr _connection, endpoint _where)
	    : connection(std::move(_connection)), where(std::move(_where))
	{
		parser.body_limit(k_any_length);
	}

	connection_ptr connection;
	endpoint where;
	http::response_parser<http::buffer_body> parser;
	std::optional<ticket> slot; ///< Empty for exchanges with entry VMs.
	std::string id;
	std::string backend;   ///< Name of the backend server, or the one that an entry VM named.
	steady_time expires{}; ///< From then on the backend server has nothing of it running.
	bool finished = false; ///< The slot was given back.
	bool caller_gone = false;
	bool wrote = false; ///< A byte may have been sent.
};

/// Pieces that were read and not yet sent on.
struct carrier::read_ahead
{
	explicit read_ahead(asio::io_context& _context) : changed(_context)
	{
	}
	std::deque<std::string> pieces;
	std::size_t bytes = 0;
	bool done = false;    ///< Everything was read.
	bool failed = false;  ///< The other side broke off.
	bool stopped = false; ///< The caller is gone.
	asio::steady_timer changed;

	/// Wakes whoever waits for a change.
	void notify()
	{
		changed.cancel();
	}
	/// Waits until something changes.
	void wait(const yield_context& _yield)
	{
		changed.expires_at(std::chrono::steady_clock::time_point::max());
		// Woken or not, the caller looks at the state again.
		boost::system::error_code ignored;
		changed.async_wait(_yield[ignored]);
	}
};

/// Takes away the header fields that are meant for one connection only.
void erase_hop_fields(http::fields& _fields);
} // namespace larkrack
