// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of the datagrams by which nodes exchange the rate limits of backend servers and borrow and lend the
/// tokens of these limits: CBOR, about 20 bytes each. Each datagram carries the newest limit that its sender
/// knows, so that two nodes that exchange tokens use the same limit.
///
/// Owns nothing. Relies on steering/backend_limit_p.h and steering/quota_p.h for the contents.
#pragma once

#include "steering/backend_limit_p.h"
#include "steering/quota_p.h"

#include "larkrack/outcome.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace larkrack
{
/// Message from one node to another about the limit of a backend server.
struct limit_message
{
	std::uint32_t incarnation = 0; ///< incarnation_hash() of the backend server.
	limit_report
	    report; ///< The reported limit; its time is in terms of the local clock of sender or receiver.
	/// Request for tokens or the reply to one, with the incarnation in place of the customer. Neither: the
	/// message carries the limit alone.
	std::variant<std::monostate, quota_request, quota_grant> tokens;
};

/// @returns The message as CBOR, with the age of the reported limit.
std::vector<std::uint8_t> encode(const limit_message& _message, steady_time _now);
/// Checks the first byte only, so that datagrams of other kinds aren't parsed.
/// @returns Whether the bytes may be a limit message.
bool is_limit_message(const std::uint8_t* _data, std::size_t _size);
/// @returns The message, or the error "bad_limit" when the bytes are not a valid limit message.
result<limit_message> decode_limit_message(const std::uint8_t* _data, std::size_t _size, steady_time _now);
} // namespace larkrack
