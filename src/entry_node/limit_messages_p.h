// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of the datagrams by which nodes tell each other the limits of backend servers, and borrow and lend
/// their tokens: CBOR, some 20 bytes each. Each carries the newest word that its sender knows, so that nodes
/// that talk of a limit agree on it.
#pragma once

#include "steering/backend_limit_p.h"
#include "steering/quota_p.h"

#include "larkrack/outcome.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace larkrack
{
/// What one node tells another of the limit of a backend server.
struct limit_message
{
	std::uint32_t life = 0; ///< life_hash() of the backend server.
	limit_word word;        ///< Its time by the clock of whoever holds the message.
	/// A question or an answer of theirs with the life for the customer; neither: the word alone.
	std::variant<std::monostate, quota_request, quota_grant> tokens;
};

/// @returns The message as CBOR, with the age of the word.
std::vector<std::uint8_t> encode(const limit_message& _message, steady_time _now);
/// Told by the first byte, so that other datagrams cost nothing here.
/// @returns Whether bytes may be such a message.
bool is_limit_message(const std::uint8_t* _data, std::size_t _size);
/// @returns The message, or the error "bad_limit" when the bytes are none.
result<limit_message> decode_limit_message(const std::uint8_t* _data, std::size_t _size, steady_time _now);
} // namespace larkrack
