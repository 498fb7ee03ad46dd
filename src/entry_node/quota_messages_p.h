// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of the datagrams by which nodes borrow and lend tokens of customers: CBOR, some 20 bytes each.
#pragma once

#include "steering/quota_p.h"

#include <variant>
#include <vector>

namespace larkrack
{
/// What one node tells another of tokens.
using quota_message = std::variant<quota_request, quota_grant>;

/// @returns The message as CBOR.
std::vector<std::uint8_t> encode(const quota_message& _message);
/// Told by the first byte, so that other datagrams cost nothing here.
/// @returns Whether bytes may be such a message.
bool is_quota_message(const std::uint8_t* _data, std::size_t _size);
/// @returns The message, or the error "bad_quota" when the bytes are none.
result<quota_message> decode_quota_message(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
