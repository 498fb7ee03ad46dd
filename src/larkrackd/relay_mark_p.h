// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Signed header value of a request that one entry VM relays to another: the reason of the relay, the request
/// id and the time. Without the signature anybody who reaches the relay listener could claim another caller's
/// address.
/// Owns: the format of the mark. Relies on: the secret that all entry VMs share (signer), and clocks that
/// differ by less than the maximum age of a mark.
#pragma once

#include "larkrackd/grant_p.h"

#include <optional>
#include <string>

namespace larkrack
{
/// How a request reached this entry VM.
enum class request_origin
{
	caller,   ///< A caller sent the request.
	for_key,  ///< Another entry VM relayed it, because this one stores the key.
	for_slot, ///< Another entry VM relayed it, because this one owns backend servers; never relayed again.
};

/// @returns The mark: "key:ID:TIME:SIGNATURE" or "slot:ID:TIME:SIGNATURE", the time in microseconds since
/// 1970.
std::string make_relay_mark(
    const signer& _signer, const std::string& _id, request_origin _origin, wall_time _now);
/// Verifies a mark.
/// @param[in] _id Id of the request that has the mark.
/// @returns The origin of the request; nothing when the mark is forged, too old or belongs to another
/// request.
std::optional<request_origin> read_relay_mark(
    const signer& _signer, const std::string& _mark, const std::string& _id, wall_time _now);
} // namespace larkrack
