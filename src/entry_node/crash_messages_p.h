// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of the datagrams by which nodes inform each other of requests that crash backend servers: CBOR,
/// about 30 bytes each.
///
/// Owns nothing. Relies on steering/blocked_requests_p.h for the contents. The counting nodes of a request
/// are the two nodes that collect the crashes that it causes anywhere; see crash_guard_p.h for the exchange
/// of these messages.
#pragma once

#include "steering/blocked_requests_p.h"

#include "larkrack/outcome.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace larkrack
{
/// To the counting nodes: a backend server crashed while it ran a request.
struct crash_report
{
	request_fingerprint request;
	std::uint32_t incarnation = 0; ///< incarnation_hash() of the backend server.
	bool caller_only = false;      ///< See crash_record::caller_only.
};

/// To the counting nodes: a suspected request was served.
struct success_report
{
	request_fingerprint request;
};

/// To all nodes: the current state of a blocked or cleared request.
struct block_update
{
	request_block block;
	bool forwards_changes = false; ///< The receiver forwards the update to the nodes of its region.
};

/// To the first counting node: asks whether a blocked request may be let through once, as a trial.
struct trial_request
{
	request_fingerprint request;
	std::uint32_t versions = 0; ///< Hash of the versions that the service's backend servers run.
};

/// Response to trial_request.
struct trial_response
{
	request_fingerprint request;
	bool granted = false;
};

/// To the first counting node: a request that was let through reached no backend server.
struct trial_unused
{
	request_fingerprint request;
};

using crash_message =
    std::variant<crash_report, success_report, block_update, trial_request, trial_response, trial_unused>;

/// @returns The message as CBOR.
std::vector<std::uint8_t> encode(const crash_message& _message);
/// Checks the first byte only, so that datagrams of other kinds aren't parsed.
/// @returns Whether the bytes may be a crash message.
bool is_crash_message(const std::uint8_t* _data, std::size_t _size);
/// @returns The message, or the error "bad_crash_message" when the bytes are not a valid crash message.
result<crash_message> decode_crash_message(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
