// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Transport of control messages between entry VMs.
///
/// Decides: which peers may connect (signed handshake, same protocol version), and when the connection to a
/// slow peer is closed.
/// Owns: one outgoing connection to each peer that a message was sent to, and traffic counters. Both are lost
/// with the process; the next message opens a connection again.
/// Relies on: membership and anti-entropy to repeat lost updates; the transport never sends a message twice.
#pragma once

#include "base/clock_p.h"
#include "base/settings_p.h"
#include "larkrackd/grant_p.h"
#include "larkrackd/message_p.h"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace larkrack
{
/// Numbers of messages, and their bytes without framing, since the start of the process.
struct peer_traffic
{
	std::uint64_t sent_messages = 0;
	std::uint64_t sent_bytes = 0;
	std::uint64_t received_messages = 0;
	std::uint64_t received_bytes = 0;
};

/// Sends and receives messages. Delivery is best effort: a message may be lost and is never retransmitted.
class peers_base : public service_base
{
public:
	const char* name() const override
	{
		return "peers";
	}
	using receiver = std::function<void(const envelope&)>;

	/// Sets the callback for received messages.
	virtual void on_message(receiver _receiver) = 0;
	/// Sends to a peer; drops the message when the peer is slow or unreachable.
	virtual void send(const std::string& _vm, const endpoint& _where, const envelope& _envelope) = 0;
	/// Simulates a network partition for tests: drops messages to and from the named peers.
	virtual void set_partitioned(std::set<std::string> _vms) = 0;
	/// @returns Traffic counters since the start.
	virtual peer_traffic traffic() const = 0;
};

/// @returns A transport over WebSocket with CBOR messages; handshakes are signed with the shared secret.
std::unique_ptr<peers_base> create_peers_websocket(
    boost::asio::io_context& _context, const settings& _settings, const clock_base& _clock);
} // namespace larkrack
