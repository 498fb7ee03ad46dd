// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Estimates how many requests of all nodes a backend server holds.
///
/// Inputs: this node's own count (requests, exact); the counts in heartbeats of other nodes (requests, one
/// heartbeat interval old); the load that the backend server reports with a response (requests, by its own
/// count); the time (steady clock).
///
/// Algorithm: the estimate is the own count plus the requests of other nodes. The latter are taken from the
/// last report of the backend server while it is fresh (k_max_report_age), and from the heartbeats after
/// that.
///
/// Alternatives (docs/DESIGN.md, "Direct sending"; a loaded fleet of nine nodes):
/// - reports of backend servers alone: worth 0.147 and queues up to 0.8 s, since each of nine nodes took an
///   old report for the total load; with heartbeats and slot portions 0.309;
/// - an owner node for each backend server, which counts exactly: half of the failure domains have only one
///   node.
///
/// Relies on in_flight being incremented and decremented with each exchange, including cancelled ones.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Load that a backend server reports with a response, in requests of all nodes.
struct backend_load
{
	int running = 0;
	int waiting = 0;
	int slots = 0;

	/// @returns Whether another request would start at once.
	bool has_free_slot() const
	{
		return 0 == waiting && running < slots;
	}
};

/// Number of requests at one backend server, from three sources.
class load_estimate
{
public:
	/// @returns Estimated number of requests of all nodes.
	double requests(steady_time _now) const;
	/// Takes a load report of the backend server.
	void on_report(const backend_load& _load, steady_time _now);
	/// Records that the backend server refused a request because it had no free slot: other nodes use at
	/// least all its slots.
	/// @param[in] _slots Number of its slots.
	void on_refused(int _slots, steady_time _now);

	int in_flight = 0;           ///< Requests of this node.
	int in_flight_elsewhere = 0; ///< Requests of other nodes, by their heartbeats.

private:
	double m_reported_elsewhere = 0.0; ///< Requests of other nodes at the last report.
	steady_time m_reported_at{};
};
} // namespace larkrack
