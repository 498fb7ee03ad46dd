// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Path check: connections to a few backend servers at once, to see whether any can be established.
///
/// Owns the connections until one is established, which then becomes an idle connection of its backend
/// server. Relies on its caller to choose the backend servers.
#pragma once

#include "entry_node/upstream_p.h"

#include <vector>

namespace larkrack
{
/// One check. Kept alive by its pending operations.
class path_check : public std::enable_shared_from_this<path_check>
{
public:
	/// Called once, unless the check is cancelled.
	/// @param[in] _connected Backend server to which a connection was established; null: none.
	/// @param[in] _failed Hashes of the incarnations of those to which none was.
	using handler =
	    std::function<void(const backend_ptr& _connected, const std::vector<std::uint32_t>& _failed)>;

	path_check(asio::io_context& _context, const clock_base& _clock, std::vector<backend_ptr> _controls,
	    std::chrono::milliseconds _timeout, handler _handler);
	void start();
	/// Ends the check without calling the handler.
	void cancel();

private:
	void on_connected(std::size_t _index);
	void finish(const backend_ptr& _connected);

	const clock_base& m_clock;
	std::vector<backend_ptr> m_controls;
	std::vector<std::shared_ptr<upstream_connection>> m_connections; ///< By index of m_controls.
	std::chrono::milliseconds m_timeout;
	handler m_handler;
	asio::steady_timer m_timer;
	std::size_t m_pending = 0;
};
} // namespace larkrack
