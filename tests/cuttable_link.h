// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The path between one node and one backend server: a TCP proxy on loopback that a test can cut and restore.
///
/// Owns its listener, and both sockets of each connection. Relies on the kernel to drop connection attempts
/// once the backlog of a listener is full, which looks to the node like a path on which packets are lost.
#pragma once

#include "entry_fixture.h"

#include <array>
#include <list>

namespace larkrack
{
/// How a cut path behaves.
enum class path_cut
{
	none,
	resets,           ///< Open connections are reset, new ones are refused.
	silence,          ///< Nothing passes on open connections, new ones hang.
	new_refused,      ///< Open connections are not affected, new ones are refused.
	response_silence, ///< Connections are established and requests arrive, but no response passes.
};

/// TCP proxy for one backend server.
class cuttable_link
{
public:
	/// @param[in] _ip Address to listen at. No other process may use it: a cut frees the port.
	cuttable_link(asio::io_context& _context, const std::string& _ip, const tcp::endpoint& _backend)
	    : m_context(_context), m_backend(_backend), m_acceptor(_context)
	{
		listen(tcp::endpoint(asio::ip::make_address(_ip), 0), asio::socket_base::max_listen_connections);
		m_address = m_acceptor.local_endpoint();
		accept();
	}
	~cuttable_link()
	{
		*m_alive = false;
	}
	cuttable_link(const cuttable_link&) = delete;
	cuttable_link& operator=(const cuttable_link&) = delete;

	const tcp::endpoint& address() const
	{
		return m_address;
	}

	/// Changes how the path behaves from now on.
	void cut(path_cut _how)
	{
		if (_how == m_cut)
		{
			return;
		}
		m_cut = _how;
		m_fillers.clear();
		if (path_cut::resets == _how)
		{
			reset_all();
		}
		if (path_cut::none == _how || path_cut::response_silence == _how)
		{
			reopen();
		}
		else
		{
			beast::error_code ignored;
			m_acceptor.close(ignored);
		}
		if (path_cut::silence == _how)
		{
			hang_new_connections();
		}
		resume();
	}

	/// Drops all that comes on the connections that are open now, in the given directions, for good; new ones
	/// work.
	void silence_open(bool _requests = true, bool _responses = true)
	{
		for (const connection_ptr& one : m_connections)
		{
			one->request.silenced = one->request.silenced || _requests;
			one->response.silenced = one->response.silenced || _responses;
		}
	}
	/// Lets all connections that are opened from now on be silent for good, or no more.
	void silence_new(bool _silent)
	{
		m_new_silent = _silent;
	}

private:
	static constexpr std::size_t k_buffer_bytes = 16384;

	/// One direction of a connection.
	struct pump
	{
		std::array<char, k_buffer_bytes> buffer{};
		std::size_t held = 0;  ///< Bytes read but not forwarded yet.
		bool ended = false;    ///< The sender closed the connection; not forwarded yet.
		bool silenced = false; ///< Bytes are dropped, and an end is not forwarded.
	};
	struct connection
	{
		explicit connection(asio::io_context& _context) : node(_context), backend(_context)
		{
		}
		tcp::socket node;
		tcp::socket backend;
		pump request;
		pump response;
	};
	using connection_ptr = std::shared_ptr<connection>;

	void listen(const tcp::endpoint& _address, int _backlog)
	{
		m_acceptor = tcp::acceptor(m_context);
		m_acceptor.open(tcp::v4());
		m_acceptor.set_option(asio::socket_base::reuse_address(true));
		m_acceptor.bind(_address);
		m_acceptor.listen(_backlog);
	}
	void reopen()
	{
		listen(m_address, asio::socket_base::max_listen_connections);
		accept();
	}
	/// Listens without accepting, with a backlog that is already full.
	void hang_new_connections()
	{
		listen(m_address, 0);
		for (int i = 0; i < 2; ++i)
		{
			m_fillers.emplace_back(m_context);
			m_fillers.back().async_connect(m_address,
			    [](beast::error_code)
			    {
			    });
		}
	}
	void accept()
	{
		m_acceptor.async_accept(
		    [this, alive = m_alive](beast::error_code _error, tcp::socket _socket)
		    {
			    if (!*alive || _error)
			    {
				    return;
			    }
			    start(std::move(_socket));
			    accept();
		    });
	}
	void start(tcp::socket&& _socket)
	{
		const auto opened = std::make_shared<connection>(m_context);
		opened->node = std::move(_socket);
		beast::error_code failed;
		opened->backend.connect(m_backend, failed);
		if (failed)
		{
			return;
		}
		m_connections.push_back(opened);
		opened->request.silenced = opened->response.silenced = m_new_silent;
		read(opened, true);
		read(opened, false);
	}
	bool passes(bool _request) const
	{
		const bool cut = path_cut::silence == m_cut || (!_request && path_cut::response_silence == m_cut);
		return !cut;
	}
	void read(const connection_ptr& _connection, bool _request)
	{
		tcp::socket& from = _request ? _connection->node : _connection->backend;
		pump& direction = _request ? _connection->request : _connection->response;
		from.async_read_some(asio::buffer(direction.buffer),
		    [this, alive = m_alive, _connection, _request, &direction](
		        beast::error_code _error, std::size_t _size)
		    {
			    if (!*alive)
			    {
				    return;
			    }
			    if (direction.silenced)
			    {
				    if (!_error)
				    {
					    read(_connection, _request);
				    }
				    return;
			    }
			    direction.held = _size;
			    direction.ended = static_cast<bool>(_error);
			    if (passes(_request))
			    {
				    forward(_connection, _request);
			    }
		    });
	}
	void forward(const connection_ptr& _connection, bool _request)
	{
		tcp::socket& to = _request ? _connection->backend : _connection->node;
		pump& direction = _request ? _connection->request : _connection->response;
		if (direction.ended)
		{
			close(_connection);
			return;
		}
		asio::async_write(to, asio::buffer(direction.buffer.data(), direction.held),
		    [this, alive = m_alive, _connection, _request, &direction](beast::error_code _error, std::size_t)
		    {
			    if (!*alive || _error)
			    {
				    return;
			    }
			    direction.held = 0;
			    read(_connection, _request);
		    });
	}
	/// Forwards what was held back while the path was silent.
	void resume()
	{
		const std::vector<connection_ptr> open(m_connections.begin(), m_connections.end());
		for (const connection_ptr& one : open)
		{
			for (const bool request : {true, false})
			{
				const pump& direction = request ? one->request : one->response;
				if ((direction.held > 0 || direction.ended) && passes(request))
				{
					forward(one, request);
				}
			}
		}
	}
	void close(const connection_ptr& _connection)
	{
		beast::error_code ignored;
		_connection->node.close(ignored);
		_connection->backend.close(ignored);
		m_connections.remove(_connection);
	}
	void reset_all()
	{
		beast::error_code ignored;
		for (const connection_ptr& one : std::exchange(m_connections, {}))
		{
			one->node.set_option(asio::socket_base::linger(true, 0), ignored);
			one->node.close(ignored);
			one->backend.close(ignored);
		}
	}

	asio::io_context& m_context;
	tcp::endpoint m_backend;
	tcp::endpoint m_address;
	tcp::acceptor m_acceptor;
	std::list<connection_ptr> m_connections;
	std::list<tcp::socket> m_fillers; ///< Connections that fill the backlog.
	path_cut m_cut = path_cut::none;
	bool m_new_silent = false;
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
} // namespace larkrack
