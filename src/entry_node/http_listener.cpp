// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/http_listener_p.h"

namespace larkrack
{
namespace
{
/// Delay after a failed accept. Longer: new callers wait. Shorter: the retries take up the CPU core.
constexpr std::chrono::milliseconds k_accept_retry_delay{20};
/// Maximum time for the body of a request without a rule: longer than any upload.
constexpr std::chrono::hours k_max_body_time{1};
} // namespace

http_listener::http_listener(asio::io_context& _context, request_handler _handler,
    std::size_t _max_connections, memory_ledger_ptr _memory)
    : m_acceptor(_context), m_accept_retry_timer(_context), m_handler(std::move(_handler)),
      m_max_connections(_max_connections), m_memory(std::move(_memory))
{
}

void http_listener::add(caller_session& _session)
{
	m_sessions.insert(&_session);
	m_without_request.push_back(_session);
}

void http_listener::remove(caller_session& _session)
{
	m_sessions.erase(&_session);
	_session.list_hook.unlink();
}

void http_listener::note_resting(caller_session& _session)
{
	if (!_session.list_hook.is_linked())
	{
		m_resting.push_back(_session);
	}
}

void http_listener::note_reading(caller_session& _session)
{
	if (_session.proven())
	{
		_session.list_hook.unlink();
	}
}

void http_listener::note_whole_request(caller_session& _session)
{
	_session.list_hook.unlink();
}

bool http_listener::make_room()
{
	if (m_sessions.size() < m_max_connections)
	{
		return true;
	}
	session_list& from = m_without_request.empty() ? m_resting : m_without_request;
	if (from.empty())
	{
		return false;
	}
	++m_displaced;
	from.front().close();
	return true;
}

beast::error_code http_listener::listen(const tcp::endpoint& _address)
{
	beast::error_code error;
	m_acceptor.open(_address.protocol(), error);
	if (!error)
	{
		m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
	}
	if (!error)
	{
		m_acceptor.bind(_address, error);
	}
	if (!error)
	{
		m_acceptor.listen(asio::socket_base::max_listen_connections, error);
	}
	if (!error)
	{
		accept();
	}
	return error;
}

void http_listener::accept()
{
	m_acceptor.async_accept(m_caller,
	    [this](beast::error_code _error, tcp::socket _socket)
	    {
		    if (!m_acceptor.is_open())
		    {
			    return;
		    }
		    if (_error)
		    {
			    // Out of descriptors or a similar error: some connections have to end first.
			    m_accept_retry_timer.expires_after(k_accept_retry_delay);
			    m_accept_retry_timer.async_wait(
			        [this](beast::error_code _canceled)
			        {
				        if (!_canceled)
				        {
					        accept();
				        }
			        });
			    return;
		    }
		    on_accepted(std::move(_socket));
		    accept();
	    });
}

void http_listener::on_accepted(tcp::socket _socket)
{
	++m_accepted;
	if (make_room())
	{
		std::make_shared<caller_session>(std::move(_socket), m_caller, *this)->start();
	}
}

void http_listener::on_unread_refusal(const unread_refusal& _refusal)
{
	++m_unread_refusals;
	if (m_unread_refusal_handler)
	{
		m_unread_refusal_handler(_refusal);
	}
}

std::optional<http::status> http_listener::check_header(const caller_request& _request) const
{
	return m_header_check ? m_header_check(_request) : std::nullopt;
}

std::chrono::milliseconds http_listener::body_time_limit(const caller_request& _request) const
{
	return m_body_time_rule ? m_body_time_rule(_request) : k_max_body_time;
}

std::uint64_t http_listener::body_bytes_limit(
    const caller_session& _session, const caller_request& _request) const
{
	const std::uint64_t limit = m_limits.body_bytes;
	return m_body_bytes_rule ? std::min(limit, m_body_bytes_rule(_session, _request)) : limit;
}

steady_time::duration http_listener::measure_stalled_time()
{
	tick(std::chrono::time_point_cast<steady_time::duration>(std::chrono::steady_clock::now()));
	return m_stalls.total();
}

void http_listener::stop_accepting()
{
	// Closing resets connections that the callers see as established, with the requests that they sent.
	beast::error_code error;
	m_acceptor.non_blocking(true, error);
	while (!error)
	{
		tcp::socket socket(m_acceptor.get_executor());
		m_acceptor.accept(socket, m_caller, error);
		if (!error)
		{
			on_accepted(std::move(socket));
		}
	}
	beast::error_code ignored; // The acceptor is not used again.
	m_acceptor.close(ignored);
	m_accept_retry_timer.cancel();
}

void http_listener::close_idle()
{
	const std::vector<caller_session*> sessions(m_sessions.begin(), m_sessions.end());
	for (caller_session* session : sessions)
	{
		session->close_if_idle();
	}
}

std::size_t http_listener::busy() const
{
	std::size_t count = 0;
	for (const caller_session* session : m_sessions)
	{
		count += session->busy() ? 1 : 0;
	}
	return count;
}
} // namespace larkrack
