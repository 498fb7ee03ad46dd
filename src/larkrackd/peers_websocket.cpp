// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/peers_p.h"

#include "larkrack/config.h"

#include "larkrackd/log_p.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace larkrack
{
namespace
{
namespace ws = websocketpp;

/// Version of the message protocol; both peers must have the same.
constexpr const char* k_protocol = "1";
constexpr const char* k_header_peer = "Larkrack-Peer";
constexpr const char* k_header_sign = "Larkrack-Peer-Sign";
/// Maximum age of a signed handshake, in both directions of clock skew. Longer tolerates more clock skew and
/// gives a recorded handshake more time to be replayed.
constexpr std::chrono::seconds k_max_handshake_age{30};
/// Maximum number of bytes buffered for a slow peer before its connection is closed. The buffer must hold a
/// whole configuration (docs/CAPACITY.md); more needs memory for each slow peer.
constexpr std::size_t k_send_limit = 64ULL * 1024 * 1024;
/// Maximum size of a received message in bytes.
constexpr std::size_t k_message_limit = 256ULL * 1024 * 1024;
/// Timeout in milliseconds for connecting and the handshake; equal to k_platform_deadline.
constexpr long k_connect_timeout_ms = 1500;
/// Maximum number of messages queued until a connection opens. Further messages are dropped, because
/// heartbeats repeat their updates.
constexpr std::size_t k_max_waiting_messages = 8;

using server_type = ws::server<ws::config::asio>;
using client_type = ws::client<ws::config::asio_client>;

/// Transport over WebSocket: one server for incoming and one client for outgoing connections. Messages are
/// sent on outgoing connections only.
class peers_websocket : public peers_base
{
public:
	peers_websocket(boost::asio::io_context& _context, const settings& _settings, const clock_base& _clock)
	    : m_settings(_settings), m_clock(_clock), m_signer(_settings.secret), m_context(_context)
	{
	}

	std::optional<error> init(kernel&) override
	{
		init_server();
		m_client.clear_access_channels(ws::log::alevel::all);
		m_client.clear_error_channels(ws::log::elevel::all);
		m_client.init_asio(&m_context);
		m_client.set_max_message_size(k_message_limit);
		ws::lib::error_code failure;
		const boost::asio::ip::tcp::endpoint where(
		    boost::asio::ip::make_address(m_settings.peers.host), m_settings.peers.port);
		m_server.listen(where, failure);
		if (failure)
		{
			return error{
			    "listen", "can not listen on " + to_string(m_settings.peers) + ": " + failure.message()};
		}
		// start_accept() fails only when the server does not listen.
		m_server.start_accept(failure);
		return std::nullopt;
	}

	void shutdown() override
	{
		// Errors are ignored: the end of the process closes the remaining connections.
		ws::lib::error_code ignored;
		m_server.stop_listening(ignored);
		for (auto& [vm, link] : m_links)
		{
			if (link.connection)
			{
				link.connection->terminate(ignored);
			}
		}
		m_links.clear();
	}

	void on_message(receiver _receiver) override
	{
		m_receiver = std::move(_receiver);
	}

	void send(const std::string& _vm, const endpoint& _where, const envelope& _envelope) override
	{
		if (0 < m_partitioned.count(_vm))
		{
			return;
		}
		const std::vector<std::uint8_t> bytes = encode(_envelope);
		link& to = m_links[_vm];
		if (!to.connection)
		{
			connect(_vm, _where);
		}
		if (!to.connection || !to.open)
		{
			if (to.waiting.size() < k_max_waiting_messages)
			{
				to.waiting.emplace_back(bytes.begin(), bytes.end());
			}
			return;
		}
		write(_vm, to, std::string(bytes.begin(), bytes.end()));
	}

	void set_partitioned(std::set<std::string> _vms) override
	{
		m_partitioned = std::move(_vms);
	}

	peer_traffic traffic() const override
	{
		return m_traffic;
	}

private:
	struct link
	{
		client_type::connection_ptr connection;
		bool open = false;
		std::vector<std::string> waiting;
	};

	void init_server()
	{
		m_server.clear_access_channels(ws::log::alevel::all);
		m_server.clear_error_channels(ws::log::elevel::all);
		m_server.init_asio(&m_context);
		m_server.set_reuse_addr(true);
		m_server.set_max_message_size(k_message_limit);
		m_server.set_validate_handler(
		    [this](const ws::connection_hdl& _handle)
		    {
			    return validate(_handle);
		    });
		m_server.set_message_handler(
		    [this](const ws::connection_hdl&, const server_type::message_ptr& _message)
		    {
			    receive(_message->get_payload());
		    });
	}

	std::string handshake_claim() const
	{
		return m_settings.name + "|" + m_settings.domain + "|" + k_protocol + "|" +
		       std::to_string(to_us(m_clock.wall()));
	}

	bool validate(const ws::connection_hdl& _handle)
	{
		const auto connection = m_server.get_con_from_hdl(_handle);
		const std::string claim = connection->get_request_header(k_header_peer);
		const std::string sign = connection->get_request_header(k_header_sign);
		const std::size_t last = claim.rfind('|');
		const bool is_signed = std::string::npos != last && signer::same(m_signer.signature(claim), sign);
		std::string why = is_signed ? "" : "signature";
		if (is_signed)
		{
			// A malformed time parses as 0, which is too old.
			const std::int64_t at = std::strtoll(claim.c_str() + last + 1, nullptr, 10);
			const auto age = std::chrono::microseconds(to_us(m_clock.wall()) - at);
			const bool fresh = age < k_max_handshake_age && -k_max_handshake_age < age;
			const bool same_version = std::string::npos != claim.find(std::string("|") + k_protocol + "|");
			why = !fresh ? "age" : (!same_version ? "version" : "");
		}
		if (!why.empty())
		{
			log_event(event::peer_refused, {{"peer", claim.substr(0, 64)}, {"why", why}});
			connection->set_status(ws::http::status_code::forbidden);
			return false;
		}
		return true;
	}

	void receive(const std::string& _bytes)
	{
		++m_traffic.received_messages;
		m_traffic.received_bytes += _bytes.size();
		result<envelope> read = decode(_bytes);
		// Peers are authenticated and have the same protocol version, so a message that can not be decoded
		// counts as lost: heartbeats and anti-entropy repeat its updates. The same holds while no receiver is
		// set.
		const envelope* message = value_of(read);
		if (nullptr == message || 0 < m_partitioned.count(message->from) || !m_receiver)
		{
			return;
		}
		m_receiver(*message);
	}

	void connect(const std::string& _vm, const endpoint& _where)
	{
		ws::lib::error_code failure;
		auto connection = m_client.get_connection("ws://" + to_string(_where) + "/", failure);
		if (failure)
		{
			// The address comes from a validated configuration. Queued messages are dropped; membership
			// suspects the peer and logs it.
			return;
		}
		const std::string claim = handshake_claim();
		connection->append_header(k_header_peer, claim);
		connection->append_header(k_header_sign, m_signer.signature(claim));
		connection->set_open_handshake_timeout(k_connect_timeout_ms);
		connection->set_open_handler(
		    [this, _vm](const ws::connection_hdl&)
		    {
			    opened(_vm);
		    });
		// Not logged: connections to an unreachable peer fail at each heartbeat, and membership logs the
		// peer.
		const auto lost = [this, _vm, raw = connection.get()](const ws::connection_hdl&)
		{
			closed(_vm, raw);
		};
		connection->set_fail_handler(lost);
		connection->set_close_handler(lost);
		m_links[_vm].connection = connection;
		m_client.connect(connection);
	}

	void opened(const std::string& _vm)
	{
		link& to = m_links[_vm];
		to.open = true;
		const std::vector<std::string> waiting = std::move(to.waiting);
		to.waiting.clear();
		for (const std::string& bytes : waiting)
		{
			write(_vm, to, bytes);
		}
	}

	void closed(const std::string& _vm, const client_type::connection_type* _connection)
	{
		const auto it = m_links.find(_vm);
		if (m_links.end() != it && it->second.connection.get() == _connection)
		{
			m_links.erase(it);
		}
	}

	void write(const std::string& _vm, link& _to, const std::string& _bytes)
	{
		if (!_to.connection)
		{
			return;
		}
		if (k_send_limit < _to.connection->get_buffered_amount() + _bytes.size())
		{
			log_event(event::peer_slow, {{"peer", _vm}});
			// An error means that the connection is already closed; its close handler removes the link.
			ws::lib::error_code ignored;
			_to.connection->terminate(ignored);
			return;
		}
		// An error means that the connection is closing; its close handler removes the link.
		if (_to.connection->send(_bytes, ws::frame::opcode::binary))
		{
			return;
		}
		++m_traffic.sent_messages;
		m_traffic.sent_bytes += _bytes.size();
	}

	const settings& m_settings;
	const clock_base& m_clock;
	signer m_signer;
	boost::asio::io_context& m_context;
	server_type m_server;
	client_type m_client;
	receiver m_receiver;
	std::map<std::string, link> m_links;
	std::set<std::string> m_partitioned;
	peer_traffic m_traffic;
};
} // namespace

std::unique_ptr<peers_base> create_peers_websocket(
    boost::asio::io_context& _context, const settings& _settings, const clock_base& _clock)
{
	return std::make_unique<peers_websocket>(_context, _settings, _clock);
}
} // namespace larkrack
