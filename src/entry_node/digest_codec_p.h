// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of domain digests, the datagrams by which a failure domain reports the state of its nodes to the
/// others: compressed CBOR.
///
/// Owns nothing. Relies on steering/domain_digest_p.h for the contents and on deflate for the compression.
#pragma once

#include "steering/domain_digest_p.h"

#include "larkrack/outcome.h"

namespace larkrack
{
/// Number of rows in one datagram, about a kilobyte when compressed.
constexpr std::size_t k_digest_rows = 16;

/// @returns One part of a digest as the bytes of a datagram.
std::vector<std::uint8_t> encode(const domain_digest& _digest);
/// Checks the first byte only, so that datagrams of other kinds aren't parsed.
/// @returns Whether the bytes may be a part of a digest.
bool is_domain_digest(const std::uint8_t* _data, std::size_t _size);
/// @returns The part of a digest, or the error "bad_digest" when the bytes are not valid.
result<domain_digest> decode_domain_digest(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
