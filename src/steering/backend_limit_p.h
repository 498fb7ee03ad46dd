// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Limit of a backend server: how many requests a second one in need takes from all nodes together.
///
/// Decides what a backend server's words mean and which of several holds. Inputs: texts beside its answers,
/// as this node hears them; words that other nodes tell, with their age.
///
/// Rule: the newest word holds, whether it names a limit or none. A text that is no number, or a negative
/// one, is passed over: what held goes on. A limit above k_most_limit_per_s is none. A smaller one than
/// k_least_limit_per_s, also of 0, counts as that: without a request now and then nobody would learn that it
/// has ended.
///
/// Relies on: a new life of a backend server being a new object (backend_registry), so that a word of the
/// former life does not bind it.
#pragma once

#include "base/clock_p.h"

#include <optional>
#include <string_view>

namespace larkrack
{
/// Requests a second below which no limit is kept to: one in four seconds.
constexpr double k_least_limit_per_s = 0.25;
/// Requests a second above which a limit is none: more than any backend server gets.
constexpr double k_most_limit_per_s = 1e6;

/// What a backend server said of its limit.
struct limit_word
{
	std::optional<double> per_s; ///< Requests a second; nothing: it names no limit.
	steady_time said_at{};       ///< By the clock of this node.
};

/// @param[in] _text As it stands beside an answer.
/// @returns The word, or nothing when the text is not a limit.
std::optional<limit_word> parse_limit(std::string_view _text, steady_time _now);

/// The word that holds for one life of a backend server.
class named_limit
{
public:
	/// Takes a word, unless a newer one is known.
	/// @returns Whether it changes the limit.
	bool hear(const limit_word& _word);
	/// @returns Whether there is a limit.
	bool limited() const
	{
		return m_word.per_s.has_value();
	}
	const limit_word& word() const
	{
		return m_word;
	}

private:
	limit_word m_word;
};
} // namespace larkrack
