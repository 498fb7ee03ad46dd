// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/crash_probe_p.h"

#include "steering/request_times_p.h"

namespace larkrack
{
crash_probe::crash_probe(asio::io_context& _context, backend_ptr _backend, handler _handler)
    : m_backend(std::move(_backend)), m_handler(std::move(_handler)), m_socket(_context), m_timer(_context)
{
}

void crash_probe::start()
{
	m_timer.expires_after(connect_timeout(false));
	m_timer.async_wait(
	    [self = shared_from_this()](boost::system::error_code _error)
	    {
		    if (!_error)
		    {
			    self->finish(false);
		    }
	    });
	m_socket.async_connect(m_backend->address,
	    [self = shared_from_this()](boost::system::error_code _error)
	    {
		    const bool refused = asio::error::connection_refused == _error;
		    self->finish(refused && 0 == self->m_backend->idle_connections);
	    });
}

void crash_probe::finish(bool _crashed)
{
	const handler decided = std::exchange(m_handler, nullptr);
	cancel();
	if (decided)
	{
		decided(_crashed);
	}
}

void crash_probe::cancel()
{
	m_handler = nullptr;
	m_timer.cancel();
	boost::system::error_code ignored; // The socket is not used again.
	m_socket.close(ignored);
}
} // namespace larkrack
