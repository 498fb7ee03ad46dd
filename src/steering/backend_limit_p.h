// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Limit of a backend server: how many requests a second one in need takes from all nodes together.
///
/// Decides what a backend server's words mean and which of several holds. Inputs: texts beside its answers,
/// as this node hears them; words that other nodes tell, with their age.
///
/// Each request to a backend server that names a limit needs a token, whether it is a first try, a retry, or
/// one that sticks to it. One node of its region lends the tokens (quota_p.h).
///
/// Other ways, in limit_model_test: a part of 1/n for each node, and one node that alone sends to a limited
/// backend server. Both lose most of a limit where many nodes send little each (docs/CAPACITY.md).
///
/// Rule: the newest word holds, whether it names a limit or none. A text that is no number, or a negative
/// one, is passed over: what held goes on. A limit above k_most_limit_per_s is none. A smaller one than
/// k_least_limit_per_s, also of 0, counts as that: without a request now and then nobody would learn that it
/// has ended.
///
/// Relies on: a new life of a backend server being a new object (backend_registry), so that a word of the
/// former life does not bind it.
#pragma once

#include "steering/quota_p.h"

#include "base/clock_p.h"

#include <optional>
#include <string_view>

namespace larkrack
{
/// Requests a second below which no limit is kept to: one in four seconds.
constexpr double k_least_limit_per_s = 0.25;
/// Requests a second above which a limit is none: more than any backend server gets.
constexpr double k_most_limit_per_s = 1e6;

/// What requests may sum up to in any window, beside the limit itself: half as much again, and five more.
constexpr quota_bounds k_limit_bounds{std::chrono::milliseconds(4000), 0.5, 5.0,
    std::chrono::milliseconds(300), std::chrono::milliseconds(2000), true};
/// Time for which a limit is saved up, seconds, and requests beside. More: more at once after a pause. Less:
/// what comes together between two questions is lost.
constexpr double k_limit_burst_s = 0.1;
constexpr double k_limit_burst = 2.0; ///< See above.
/// Part of a limit, by the nodes in sight, that nodes lend which see less than half of their region.
constexpr double k_island_part = 0.5;

/// What a backend server said of its limit.
struct limit_word
{
	std::optional<double> per_s; ///< Requests a second; nothing: it names no limit.
	steady_time said_at{};       ///< By the clock of this node.
};

/// @param[in] _id By which nodes tell each other of the limit.
/// @returns What tokens are lent by.
quota_subject subject_of(std::uint64_t _id, double _per_s);
/// A limit is lent whole by whoever sees more than half of the region, so that none of it is lost when nodes
/// are gone for good, and by halves where two see half of it each. Smaller islands lend at most a quarter of
/// it in all, which the bounds allow beside it.
/// @param[in] _live Nodes of the region in sight, this one among them.
/// @param[in] _most Most nodes of the region ever seen.
/// @returns Nodes that the lender counts, of that most.
double lending_nodes(double _live, double _most);

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
