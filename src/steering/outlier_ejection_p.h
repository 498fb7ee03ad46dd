// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides when a failing backend server gets no new requests, and when it gets them again.
///
/// Inputs: how each exchange of this node with the backend server ended; the time (steady clock).
///
/// Rule (passive outlier ejection): a connection that can not be had ejects at once, lost answers after
/// three in a row. The time doubles with each further failure in a row, up to a bound; the backend server
/// returns by itself when it is over, and the next answer sets the count to zero. A refusal for want of a
/// slot is no failure, and neither is a rest, which runs beside an ejection: the longer of the two holds.
///
/// Why not another way:
/// - active health checks: each takes a slot, and answers, refusals and lost connections tell more
///   (docs/DESIGN.md, "Known limits"); not measured;
/// - ejection by the share of failed answers: not measured. A backend server that fails a part of its
///   requests is met by retries alone.
///
/// Relies on: each exchange telling its end once. Each node decides for itself; nothing is told to others.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// How an exchange with a backend server ended, as far as its health is concerned.
enum class backend_signal
{
	answered,    ///< It answered.
	refused,     ///< It said that it did not run the request.
	not_tried,   ///< Nothing was sent to it, since it wants nothing.
	unreachable, ///< No connection could be had, or another backend server has the address.
	lost,        ///< The connection broke, or the answer did.
};

/// Why a backend server is ejected, or not.
enum class ejection_reason
{
	healthy,      ///< Not ejected: it answered or refused.
	few_lost,     ///< Not ejected: too few lost answers in a row.
	unreachable,  ///< Ejected: no connection.
	lost_answers, ///< Ejected: lost answers in a row.
};

/// What follows from the end of one exchange.
struct ejection_decision
{
	ejection_reason reason = ejection_reason::healthy;
	std::chrono::milliseconds time{0}; ///< For which it gets no new requests; 0: not ejected.
};

/// Health of one backend server as this node's exchanges show it.
class outlier_ejection
{
public:
	/// Takes the end of an exchange.
	ejection_decision on_exchange_end(backend_signal _signal, steady_time _now);
	/// @returns Whether it gets no new requests now.
	bool ejected(steady_time _now) const
	{
		return _now < m_ejected_until;
	}

private:
	steady_time m_ejected_until{};
	int m_failures = 0; ///< In a row.
};
} // namespace larkrack
