// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rest of a backend server: the time for which it wants no requests from this node, and how it comes back.
///
/// Decides what a backend server's words mean, and when the first requests after a rest may go to it. Inputs:
/// texts beside answers that turned a request of this node away; the time (a clock that counts suspensions);
/// the requests a second that are this node's even share for one backend server.
///
/// Rule: a rest runs from the moment at which its word was read, which is never earlier than it was said, so
/// that it never ends too soon. Of several the one that ends last holds: a shorter word that comes later, or
/// an answer to a request that was under way, ends none. A text that is no number of seconds, or a negative
/// one, is passed over: what held goes on. A rest above k_longest_rest counts as that: nobody means more, and
/// a mistake must not take a backend server away for good.
///
/// A rest ends by its time alone. Then one request goes there, and k_look_time later, when it would have been
/// turned away, more; for k_return_time no more than the even share. So a backend server that still wants
/// rest turns one request of each node away, and one that is well isn't met by all at once because it is
/// empty.
///
/// Each node keeps to what it heard itself: a backend server speaks to one node, and may turn one request
/// away and serve the next. Nodes that told each other would take it from those that it serves
/// (rest_model_test).
///
/// Relies on: a new life of a backend server being a new object (backend_registry), so that a word of the
/// former life does not bind it.
#pragma once

#include "steering/token_bucket_p.h"

#include "base/clock_p.h"

#include <optional>
#include <string_view>

namespace larkrack
{
/// Longest rest that is kept to.
constexpr std::chrono::hours k_longest_rest{1};

/// Time in which the first request after a rest would have been turned away: a round trip to another region.
/// Longer: a backend server that is well stays empty. Shorter: more requests are turned away by one that is
/// not.
constexpr std::chrono::milliseconds k_look_time{100};
/// Time after a rest in which a backend server gets its even share at most, from the first request on.
constexpr std::chrono::milliseconds k_return_time{1000};

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

	/// Counts a request that is to go to it as one of the first after its rest.
	/// @param[in] _share_per_s Requests a second that are this node's even share.
	/// @returns Whether it may; always when there was no rest, or it is long over.
	bool may_return(double _share_per_s, steady_time _now);

private:
	steady_time m_until{};
	bool m_returning = false;    ///< There was a rest, and its return is not over.
	steady_time m_returned_at{}; ///< First request after the rest; the epoch: none yet.
	token_bucket m_share;        ///< Of the requests after that.
};
} // namespace larkrack
