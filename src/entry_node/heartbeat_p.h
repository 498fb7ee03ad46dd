// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of heartbeats, the datagrams by which nodes report that they are running: CBOR.
///
/// Owns nothing. Relies on steering/node_heartbeat_p.h for the contents.
#pragma once

#include "steering/node_heartbeat_p.h"

#include "larkrack/outcome.h"

namespace larkrack
{
/// @returns The heartbeat as CBOR.
std::vector<std::uint8_t> encode(const node_heartbeat& _heartbeat);
/// @returns The heartbeat, or the error "bad_heartbeat" when the bytes are not a valid heartbeat.
result<node_heartbeat> decode_heartbeat(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
