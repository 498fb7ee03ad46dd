// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rest of a backend server: the time for which it wants no requests from this node.
///
/// Decides what a backend server's words mean. Inputs: texts beside answers that turned a request of this
/// node away; the time (a clock that counts suspensions).
///
/// Rule: a rest runs from the moment at which its word was read, which is never earlier than it was said, so
/// that it never ends too soon. Of several the one that ends last holds: a shorter word that comes later, or
/// an answer to a request that was under way, ends none. A text that is no number of seconds, or a negative
/// one, is passed over: what held goes on. A rest above k_longest_rest counts as that: nobody means more, and
/// a mistake must not take a backend server away for good.
///
/// Relies on: a new life of a backend server being a new object (backend_registry), so that a word of the
/// former life does not bind it.
#pragma once

#include "base/clock_p.h"

#include <optional>
#include <string_view>

namespace larkrack
{
/// Longest rest that is kept to.
constexpr std::chrono::hours k_longest_rest{1};

/// @param[in] _text Seconds, also parts of them.
/// @returns The rest, or nothing when the text is none.
std::optional<steady_time::duration> parse_rest(std::string_view _text);

/// The rest that holds for one life of a backend server.
class backend_rest
{
public:
	/// Takes a word.
	/// @returns Whether the rest ends later by it.
	bool hear(steady_time::duration _rest, steady_time _now);
	/// @returns Whether it wants no requests now.
	bool resting(steady_time _now) const
	{
		return _now < m_until;
	}
	/// @returns When the last rest ends; the epoch when there was none.
	steady_time until() const
	{
		return m_until;
	}

private:
	steady_time m_until{};
};
} // namespace larkrack
