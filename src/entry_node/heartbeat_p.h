// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of the datagrams by which nodes tell each other that they are there: CBOR. What they hold:
/// node_heartbeat_p.h.
#pragma once

#include "steering/node_heartbeat_p.h"

#include "larkrack/outcome.h"

namespace larkrack
{
/// @returns The heartbeat as CBOR.
std::vector<std::uint8_t> encode(const node_heartbeat& _heartbeat);
/// @returns The heartbeat, or the error "bad_heartbeat" when the bytes are none.
result<node_heartbeat> decode_heartbeat(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
