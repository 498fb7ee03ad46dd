// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The mark of a request that one entry VM passes on to another: why it is passed on, its id and the time,
/// signed. Without it anybody who reaches the relay listener could claim another caller's address. Owns the
/// mark's text; relies on the secret that all entry VMs share, and on their clocks being close.
#pragma once

#include "larkrackd/grant_p.h"

#include <optional>
#include <string>

namespace larkrack
{
/// How a request reached this entry VM.
enum class request_origin
{
	caller,   ///< From a caller.
	for_key,  ///< From another entry VM, because this one remembers the key.
	for_slot, ///< From another entry VM, because this one owns backend servers: served or refused here.
};

/// @returns "key:ID:TIME:SIGNATURE" or "slot:ID:TIME:SIGNATURE", the time in microseconds since 1970.
std::string make_relay_mark(
    const signer& _signer, const std::string& _id, request_origin _origin, wall_time _now);
/// @param[in] _id Id of the request that carries the mark.
/// @returns Why the request was passed on; nothing when the mark is forged, too old or another request's.
std::optional<request_origin> read_relay_mark(
    const signer& _signer, const std::string& _mark, const std::string& _id, wall_time _now);
} // namespace larkrack
