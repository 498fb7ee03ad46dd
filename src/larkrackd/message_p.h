// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Control messages between entry VMs, and their encoding as CBOR.
///
/// For: gossip of members, and anti-entropy of configuration and records (a node that hears of a higher
/// revision or another digest asks for what it lacks).
/// Owns: no state. Field names on the wire are short because heartbeats are most of the bytes.
/// Relies on: peers for transport. Both sides speak the same protocol version (checked at the handshake).
#pragma once

#include "larkrackd/membership_p.h"
#include "larkrackd/policy_p.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace larkrack
{
/// A small record of the store (ownership, steps of shifts), as entry VMs pass it on.
struct record
{
	std::string key;
	std::string value;          ///< JSON text.
	std::uint64_t sequence = 0; ///< Grows with each write of this key.
};

/// News of entry VMs.
struct message_heartbeat
{
	std::vector<member_entry> entries;
};
/// Asks for a newer configuration.
struct message_get_config
{
	revision have;
};
/// A configuration, whole or as changes since another.
struct message_config
{
	revision base; ///< 0: whole.
	revision rev;
	resource_map changed;
	std::vector<std::string> removed;
};
/// Asks for records that are newer than these.
struct message_get_records
{
	std::map<std::string, std::uint64_t> have;
};
/// Records.
struct message_records
{
	std::vector<record> records;
};

using message =
    std::variant<message_heartbeat, message_get_config, message_config, message_get_records, message_records>;

/// A message and its sender.
struct envelope
{
	std::string from;
	message body;
};

/// @returns CBOR.
std::vector<std::uint8_t> encode(const envelope& _envelope);
/// @returns The message, or error "bad_message".
result<envelope> decode(const std::string& _bytes);
} // namespace larkrack
