// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rest of a backend server: a period during which it asked this node to send no requests, and the ramp-up
/// that follows.
///
/// Parses the rest periods that backend servers ask for, and decides when the first requests after a rest may
/// be sent. Inputs: the retry time of responses that refused a request of this node; the time (a clock that
/// includes suspensions); the requests per second that are this node's even share for one backend server.
///
/// Algorithm: a rest starts when its response was read, which is never earlier than it was sent, so that the
/// rest never ends too early. Of several rests the one that ends last holds: neither a shorter rest that is
/// read later nor the response to a request in flight ends it. A value that is not a number of seconds, or is
/// negative, is ignored: the previous rest stays in force. A rest above k_max_rest is cut to
/// k_max_rest: no backend server needs more, and a mistaken value must not disable one for good.
///
/// A rest ends by its time alone. One request is sent as a probe, and further ones after k_probe_time, when
/// the probe would have been refused; for k_ramp_up_time the rate is limited to the even share. So a backend
/// server that still needs rest refuses one request of each node, and a backend server that has recovered
/// does not get all requests at once because it is empty.
///
/// Each node obeys only the rests that it was told itself: a backend server's refusal is meant for one node,
/// and it may refuse one request and serve the next. If nodes forwarded rests to each other, they would
/// withhold the backend server from nodes that it serves (rest_model_test).
///
/// Relies on backend_registry to create a new object for each incarnation of a backend server, so that a rest
/// of an earlier incarnation has no effect.
#pragma once

#include "steering/token_bucket_p.h"

#include "base/clock_p.h"

#include <optional>
#include <string_view>

namespace larkrack
{
/// Maximum length of a rest.
constexpr std::chrono::hours k_max_rest{1};

/// Time within which the probe after a rest would have been refused: a round trip to another region. Longer:
/// a backend server that has recovered stays empty. Shorter: a backend server that has not recovered refuses
/// more requests.
constexpr std::chrono::milliseconds k_probe_time{100};
/// Time after the probe during which a backend server gets at most its even share.
constexpr std::chrono::milliseconds k_ramp_up_time{1000};

/// @param[in] _text Seconds; may have a fraction.
/// @returns The rest, or nothing if the text is not a valid number of seconds.
std::optional<steady_time::duration> parse_rest(std::string_view _text);

/// The rest in force for one incarnation of a backend server.
class backend_rest
{
public:
	/// Takes a rest that the backend server asked for.
	/// @returns Whether the end of the rest moves to a later time.
	bool take_report(steady_time::duration _rest, steady_time _now);
	/// @returns Whether no requests may be sent now.
	bool resting(steady_time _now) const
	{
		return _now < m_until;
	}
	/// @returns When the last rest ends; the epoch if there was none.
	steady_time until() const
	{
		return m_until;
	}

	/// Counts a request that is about to be sent after a rest.
	/// @param[in] _share_per_s Requests per second that are this node's even share.
	/// @returns Whether the request may be sent; always true if there was no rest or the ramp-up is over.
	bool admits_after_rest(double _share_per_s, steady_time _now);

private:
	steady_time m_until{};
	bool m_returning = false;    ///< A rest was set, and the ramp-up after it is not over.
	steady_time m_returned_at{}; ///< When the probe was sent; the epoch: not yet.
	token_bucket m_share;        ///< Limits the requests after the probe.
};
} // namespace larkrack
