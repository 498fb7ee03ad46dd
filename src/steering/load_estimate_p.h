// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides how many requests a backend server holds, of all nodes.
///
/// Inputs: this node's own count (requests, exact); what the heartbeats of other nodes tell of theirs
/// (requests, one heartbeat interval old); the load that the backend server reports beside an answer
/// (requests, of its own knowledge); the time (steady clock).
///
/// Rule: the estimate is the own count plus the requests of other nodes. These are taken from the last
/// report of the backend server while that is fresh (k_report_fresh), and from the heartbeats after that.
///
/// Why not another way (docs/DESIGN.md, "Direct sending"; a loaded fleet of nine nodes):
/// - reports of backend servers alone: worth 0.147 and queues up to 0.8 s, since each of nine nodes took an
///   old report for the whole load; with heartbeats and slot portions 0.309;
/// - an owner for each backend server, which counts exactly: not measured here; half of the failure domains
///   have one node.
///
/// Relies on: in_flight being raised and lowered with each exchange, also with one that is cancelled.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Load as a backend server reports it beside an answer, in requests of all nodes.
struct backend_load
{
	int running = 0;
	int waiting = 0;
	int slots = 0;
};

/// Requests that one backend server holds, from three sources.
class load_estimate
{
public:
	/// @returns Requests that it probably holds, of all nodes.
	double requests(steady_time _now) const;
	/// Takes a report of the backend server itself.
	void on_report(const backend_load& _load, steady_time _now);
	/// Takes that it refused a request for want of a free slot: other nodes hold at least its slots.
	/// @param[in] _slots What it has, in requests.
	void on_refused(int _slots, steady_time _now);

	int in_flight = 0;           ///< Requests of this node.
	int in_flight_elsewhere = 0; ///< Requests of other nodes, by their heartbeats.

private:
	double m_reported_elsewhere = 0.0; ///< Requests of other nodes at the last report.
	steady_time m_reported_at{};
};
} // namespace larkrack
