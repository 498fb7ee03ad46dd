// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of the datagrams by which nodes report the results of a version to the nodes that decide a rollout:
/// CBOR, up to a kilobyte.
///
/// Owns nothing. Relies on steering/rollout_evidence_p.h for the counts.
#pragma once

#include "steering/rollout_evidence_p.h"
#include "steering/rollout_p.h"

#include "larkrack/outcome.h"

#include <vector>

namespace larkrack
{
/// Results of a rollout that one node has observed so far.
struct rollout_report
{
	service_name service;
	std::int64_t order_revision = 0;
	std::uint32_t sender = 0; ///< short_hash() of the sender's name.
	/// Incarnation of the sender, whose counts start from 0 with each incarnation.
	std::uint64_t incarnation = 0;
	std::chrono::milliseconds passed{0}; ///< Time since the sender learned of the order.
	rollout_evidence evidence;
};

/// @returns The report as CBOR.
std::vector<std::uint8_t> encode(const rollout_report& _report);
/// Checks the first byte only, so that datagrams of other kinds aren't parsed.
/// @returns Whether the bytes may be a report.
bool is_rollout_report(const std::uint8_t* _data, std::size_t _size);
/// @returns The report, or the error "bad_report" when the bytes are not a valid report or its counts exceed
/// what a node can observe.
result<rollout_report> decode_rollout_report(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
