// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Transport of control messages between entry VMs.
#pragma once

#include "clock_p.h"
#include "grant_p.h"
#include "message_p.h"
#include "settings_p.h"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace larkrack
{
/// Bytes and messages since the start.
struct peer_traffic
{
	std::uint64_t sent_messages = 0;
	std::uint64_t sent_bytes = 0;
	std::uint64_t received_messages = 0;
	std::uint64_t received_bytes = 0;
};

/// Sends and receives messages. Delivery is best effort: a message may be lost, and is never repeated.
class peers_base : public service_base
{
public:
	const char* name() const override
	{
		return "peers";
	}
	using receiver = std::function<void(const envelope&)>;

	/// Sets who gets received messages.
	virtual void on_message(receiver _receiver) = 0;
	/// Sends to a peer; drops the message when the peer is slow or away.
	virtual void send(const std::string& _vm, const endpoint& _where, const envelope& _envelope) = 0;
	/// Cuts links to peers by name. For tests.
	virtual void set_cut(std::set<std::string> _vms) = 0;
	virtual peer_traffic traffic() const = 0;
};

/// Websockets with CBOR; the handshake is signed with the shared secret.
std::unique_ptr<peers_base> create_peers_websocket(
    boost::asio::io_context& _context, const settings& _settings, const clock_base& _clock);
} // namespace larkrack
