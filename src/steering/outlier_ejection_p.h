// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides when a failing backend server gets no new requests, and when it gets them again.
///
/// Inputs: how each exchange of this node with the backend server ended; the time (steady clock).
///
/// Algorithm (passive outlier ejection): a failed connection ejects at once, lost responses after three in a
/// row. The ejection time doubles with each further consecutive failure, up to a maximum; the backend server
/// returns when the time is over, and the next response resets the count. A refusal because of no free slot
/// is not a failure, and neither is a rest, which runs independently of an ejection: the longer of the two
/// holds.
///
/// Alternatives:
/// - active health checks: each occupies a slot, and responses, refusals and lost connections are more
///   informative (docs/DESIGN.md, "Known limits");
/// - ejection by the fraction of failed responses: a backend server that fails a fraction of its requests is
///   handled by retries alone.
///
/// Relies on each exchange reporting its end once. Each node decides on its own; nothing is sent to other
/// nodes.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// How an exchange with a backend server ended, with regard to its health.
enum class backend_signal
{
	answered,    ///< It responded.
	refused,     ///< It reported that it did not run the request.
	not_tried,   ///< Nothing was sent, since it accepts no requests.
	unreachable, ///< No connection was established, or another backend server has the address.
	lost,        ///< The connection broke, or the response was incomplete.
};

/// Why a backend server is ejected or not.
enum class ejection_reason
{
	healthy,        ///< Not ejected: it responded or refused.
	too_few_lost,   ///< Not ejected: too few consecutive lost responses.
	unreachable,    ///< Ejected: no connection.
	lost_responses, ///< Ejected: consecutive lost responses.
};

/// Result of recording the end of one exchange.
struct ejection_decision
{
	ejection_reason reason = ejection_reason::healthy;
	std::chrono::milliseconds time{0}; ///< Time without new requests; 0: not ejected.
};

/// Health of one backend server, as seen by the exchanges of this node.
class outlier_ejection
{
public:
	/// Records the end of an exchange.
	ejection_decision on_exchange_end(backend_signal _signal, steady_time _now);
	/// @returns Whether it gets no new requests now.
	bool ejected(steady_time _now) const
	{
		return _now < m_ejected_until;
	}
	/// Ends an ejection and forgets failures: they were not those of the backend server.
	void forgive()
	{
		m_ejected_until = {};
		m_failures = 0;
	}

private:
	steady_time m_ejected_until{};
	int m_failures = 0; ///< Consecutive failures.
};
} // namespace larkrack
