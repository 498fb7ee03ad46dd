// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Choice of a backend server among those that an entry VM of `larkrackd` owns.
/// Owns: the rules, one for each value of the setting `chooser`. Relies on: the gate, which counts what runs
/// and passes only candidates that have a slot in use or free.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace larkrack
{
/// What a chooser may know of one backend server.
struct candidate
{
	int running = 0;         ///< Requests that this owner has there, counted.
	int usable = 0;          ///< Slots that may be used now.
	double reported = 0.0;   ///< Share of its slots in use by its own, lagging word.
	double latency_us = 0.0; ///< Smoothed time of an exchange; 0: not known.
};

/// No candidate.
constexpr std::size_t k_no_choice = static_cast<std::size_t>(-1);

/// Rule of choice.
class chooser_base
{
public:
	chooser_base() = default;
	chooser_base(const chooser_base&) = delete;
	chooser_base& operator=(const chooser_base&) = delete;
	virtual ~chooser_base() = default;

	/// @returns Index of the chosen candidate, or k_no_choice.
	virtual std::size_t choose(const std::vector<candidate>& _candidates) = 0;
	/// @returns Whether the rule keeps to the counted slots; those of create_chooser_plain do not.
	virtual bool keeps_to_slots() const = 0;
};

/// @param[in] _name own_count, round_robin, least_connections or two_random.
/// @returns The rule of that name, or null.
std::unique_ptr<chooser_base> create_chooser(const std::string& _name);

std::unique_ptr<chooser_base> create_chooser_own_count();
/// @returns One of the rules that `own_count` is compared with, or null.
std::unique_ptr<chooser_base> create_chooser_plain(const std::string& _name);
} // namespace larkrack
