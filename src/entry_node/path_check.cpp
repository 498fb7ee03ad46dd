// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/path_check_p.h"

namespace larkrack
{
path_check::path_check(asio::io_context& _context, const clock_base& _clock,
    std::vector<backend_ptr> _controls, std::chrono::milliseconds _timeout, handler _handler)
    : m_clock(_clock), m_controls(std::move(_controls)), m_timeout(_timeout), m_handler(std::move(_handler)),
      m_timer(_context), m_pending(m_controls.size())
{
	for (const backend_ptr& control : m_controls)
	{
		m_connections.push_back(std::make_shared<upstream_connection>(_context, control));
	}
}

void path_check::start()
{
	m_timer.expires_after(m_timeout);
	m_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error)
		    {
			    self->finish(nullptr);
		    }
	    });
	for (std::size_t i = 0; i < m_controls.size(); ++i)
	{
		m_connections[i]->socket.async_connect(m_controls[i]->address,
		    [self = shared_from_this(), connection = m_connections[i], i](beast::error_code _error)
		    {
			    if (!self->m_handler)
			    {
				    return;
			    }
			    if (!_error)
			    {
				    self->on_connected(i);
			    }
			    else if (0 == --self->m_pending)
			    {
				    self->finish(nullptr);
			    }
		    });
	}
}

void path_check::on_connected(std::size_t _index)
{
	upstream_connection& connection = *m_connections[_index];
	beast::error_code ignored; // Without the option small packets are only delayed.
	connection.socket.set_option(tcp::no_delay(true), ignored);
	connection.keep_idle(k_default_keep_alive, m_clock.steady());
	m_connections[_index].reset();
	finish(m_controls[_index]);
}

void path_check::finish(const backend_ptr& _connected)
{
	const handler ended = std::exchange(m_handler, nullptr);
	cancel();
	std::vector<std::uint32_t> failed;
	for (const backend_ptr& control : m_controls)
	{
		if (control != _connected)
		{
			failed.push_back(control->id_hash);
		}
	}
	if (ended)
	{
		ended(_connected, failed);
	}
}

void path_check::cancel()
{
	m_handler = nullptr;
	m_timer.cancel();
	beast::error_code ignored; // The sockets are not used again.
	for (const std::shared_ptr<upstream_connection>& connection : m_connections)
	{
		if (connection)
		{
			connection->socket.close(ignored);
		}
	}
}
} // namespace larkrack
