// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rollout evidence: counts of how the requests of each route ended at the backend servers of the target
/// version and, at the same time, at all others.
///
/// Counts only grow, so a delayed or duplicated message does no harm, and the sum over the nodes is the sum
/// of their last messages.
///
/// Relies on the callers to count each attempt once (src/entry_node/rollouts.cpp).
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace larkrack
{
/// Number of classes of answer times. The bounds of a class are a fifth higher than those of the class
/// before, from 1 ms to a minute.
constexpr std::size_t k_time_classes = 60;
/// Maximum number of routes with counts of their own; all further routes count together. A message with this
/// number of routes fits into one datagram.
constexpr std::size_t k_max_separate_routes = 8;

/// Counts of the requests at the backend servers of one side: the target version, or all others.
struct version_counts
{
	std::uint32_t ended = 0;  ///< Requests that a backend server received and that have ended.
	std::uint32_t failed = 0; ///< Those whose answer failed, was lost or did not come until the deadline.
	/// Answers of backend servers that were not cold, by class of their answer time.
	std::array<std::uint32_t, k_time_classes> times{};

	void add(const version_counts& _other);
	/// Counts the time of an answer.
	void count_time(std::chrono::milliseconds _time);
	/// @returns Number of answers with a time.
	std::uint32_t timed() const;
	/// @param[in] _part Fraction of the answers that are faster, 0 to 1.
	/// @returns Class of that quantile of the answer times.
	std::size_t quantile(double _part) const;
};

/// Counts of both sides of one route.
struct route_evidence
{
	version_counts target;
	version_counts others;
};

/// By route; "" stands for all routes without counts of their own.
using rollout_evidence = std::map<std::string, route_evidence>;

/// @returns The entry of a route, or the common entry when there are too many routes.
route_evidence& evidence_of(rollout_evidence& _evidence, const std::string& _route);
/// Adds the evidence of one node to the sum.
void add_evidence(rollout_evidence& _sum, const rollout_evidence& _one);
/// @returns Ratio of an answer time of one class to an answer time of another.
double time_ratio(std::size_t _class, std::size_t _than);
} // namespace larkrack
