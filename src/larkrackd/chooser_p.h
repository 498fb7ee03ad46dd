// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Load balancing among the backend servers that an entry VM of `larkrackd` owns.
/// Owns: the balancing policies, one for each value of the setting `chooser`.
/// Relies on: gate, which counts the running requests and passes only backend servers that have usable slots.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace larkrack
{
/// Load of one backend server, as input of a chooser.
struct candidate
{
	int running = 0;         ///< Requests that this entry VM has running there, counted exactly.
	int usable = 0;          ///< Slots that may be used now, including those in use.
	double reported = 0.0;   ///< Share of its slots in use, 0 to 1, from its last load report; lags behind.
	double latency_us = 0.0; ///< Moving average of exchange times in microseconds; 0: unknown.
};

/// Result of chooser_base::choose() when no candidate is chosen.
constexpr std::size_t k_no_choice = static_cast<std::size_t>(-1);

/// Balancing policy.
class chooser_base
{
public:
	chooser_base() = default;
	chooser_base(const chooser_base&) = delete;
	chooser_base& operator=(const chooser_base&) = delete;
	virtual ~chooser_base() = default;

	/// @returns Index of the chosen candidate, or k_no_choice.
	virtual std::size_t choose(const std::vector<candidate>& _candidates) = 0;
	/// @returns Whether the policy never exceeds the usable slots; those of create_chooser_plain() may.
	virtual bool respects_slots() const = 0;
};

/// @param[in] _name own_count, round_robin, least_connections or two_random.
/// @returns The policy of that name, or null.
std::unique_ptr<chooser_base> create_chooser(const std::string& _name);

std::unique_ptr<chooser_base> create_chooser_own_count();
/// @returns One of the baseline policies that `own_count` is compared with, or null.
std::unique_ptr<chooser_base> create_chooser_plain(const std::string& _name);
} // namespace larkrack
