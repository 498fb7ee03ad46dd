// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Control messages between entry VMs, and their encoding as CBOR.
///
/// Used for: gossip of members, and anti-entropy of configuration and records (a node that receives a higher
/// revision or a different digest requests what it lacks).
/// Owns: no state. Field names on the wire are short because heartbeats make up most of the bytes.
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
/// A small record of the store (owners of backend servers, step of a shift), as entry VMs send it to each
/// other.
struct record
{
	std::string key;
	std::string value;          ///< JSON text.
	std::uint64_t sequence = 0; ///< Grows with each write of this key.
};

/// Entries of entry VMs.
struct message_heartbeat
{
	std::vector<member_entry> entries;
};
/// Requests a newer configuration.
struct message_get_config
{
	revision have;
};
/// A configuration, whole or as changes since an earlier revision.
struct message_config
{
	revision base; ///< 0: the whole configuration.
	revision rev;
	resource_map changed;
	std::vector<std::string> removed;
};
/// Requests the records that are newer than these sequences.
struct message_get_records
{
	std::map<std::string, std::uint64_t> have;
};
/// Records that changed or were requested.
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
