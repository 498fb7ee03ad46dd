// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of the datagrams by which nodes borrow and lend quota tokens of customers: CBOR, about 20 bytes
/// each.
///
/// Owns nothing. Relies on steering/quota_p.h for the contents.
#pragma once

#include "steering/quota_p.h"

#include <variant>
#include <vector>

namespace larkrack
{
/// Message from one node to another: a request for tokens, or the reply to one.
using quota_message = std::variant<quota_request, quota_grant>;

/// @returns The message as CBOR.
std::vector<std::uint8_t> encode(const quota_message& _message);
/// Checks the first byte only, so that datagrams of other kinds aren't parsed.
/// @returns Whether the bytes may be a quota message.
bool is_quota_message(const std::uint8_t* _data, std::size_t _size);
/// @returns The message, or the error "bad_quota" when the bytes are not a valid quota message.
result<quota_message> decode_quota_message(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
