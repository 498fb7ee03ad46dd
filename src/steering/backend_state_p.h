// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// State of one backend server that steering decisions read; its address and connection objects are kept
/// elsewhere.
///
/// Decides whether a backend server may get new requests in principle (registration, evacuations), whether
/// it is in slow start, and whether it may get requests now (also considering rests and outlier ejection).
/// The number of requests that it holds is estimated in load_estimate_p.h.
///
/// Relies on backend_registry, which owns the objects and updates them from the platform's registry.
#pragma once

#include "steering/backend_limit_p.h"
#include "steering/backend_rest_p.h"
#include "steering/load_estimate_p.h"
#include "steering/names_p.h"
#include "steering/outlier_ejection_p.h"
#include "steering/rollout_p.h"
#include "steering/server_slowness_p.h"
#include "steering/token_bucket_p.h"

#include <cstdint>

namespace larkrack
{
/// What a backend server declares in the platform's registry. A restart has a new id, or the previous id with
/// a different start time.
struct backend_registration
{
	backend_id id;
	std::int64_t started_ms = 0; ///< Start time, Unix milliseconds; 0: not declared.
	service_name service;
	domain_name domain;
	version_name version;  ///< Version of its software.
	int slots = 1;         ///< Requests that it runs concurrently.
	bool draining = false; ///< It completes its requests and accepts no new ones.
	std::chrono::milliseconds warmup_left{
	    0}; ///< Time until it is warm, counted from when the entry was written.
};

/// @returns Hash of one incarnation of a backend server, so that counts of an earlier incarnation are not
/// applied to a new one.
std::uint32_t incarnation_hash(const backend_registration& _registration);

/// What a refusal's own load report says.
enum class refusal_report
{
	none,       ///< No report, no free slot, or the service's rule does not use it.
	slots_free, ///< Slots are free: the refusal concerns one request, not the backend server's load.
};

/// How this node's requests get to a backend server.
enum class path_use
{
	direct,   ///< Over this node's own connections.
	by_relay, ///< This node's path is broken: over another node.
	none,     ///< This node's path is broken, and no other node is known to reach it.
};

/// One backend server.
struct backend_state
{
	backend_registration registered;
	region_name region;               ///< Empty: its failure domain is in no known region.
	std::uint32_t id_hash = 0;        ///< Identifies this incarnation in heartbeats, see incarnation_hash().
	bool gone = false;                ///< Its entry was removed from the registry.
	bool evacuated = false;           ///< Its failure domain is being evacuated.
	steady_time cold_until{};         ///< End of its slow start.
	int connections = 0;              ///< Open connections of this node.
	int idle_connections = 0;         ///< Open connections that no request uses.
	token_bucket warmup;              ///< This node's share of its request rate during slow start.
	load_estimate load;               ///< Requests that it holds.
	server_slowness slowness;         ///< How long work takes there, if it reports so.
	outlier_ejection ejection;        ///< Its recent failures.
	reported_limit limit;             ///< Maximum requests per second from all nodes, if it reports a limit.
	backend_rest rest;                ///< Period during which it asked this node to send no requests.
	path_use path = path_use::direct; ///< Of its failure domain; set by node_paths.
	bool reported_leaving =
	    false; ///< A response to this node said that it is leaving, whatever its entry says.

	/// The registry entry and responses to this node may disagree on whether the backend server is leaving:
	/// either is sufficient. A response holds for the whole incarnation, an entry until the next entry.
	/// @returns Whether it may get new requests, rests and failures aside.
	bool accepts_new_requests() const
	{
		return !gone && !evacuated && !registered.draining && !reported_leaving;
	}
	/// @returns Whether it accepts requests of this node now, failures aside.
	bool accepts_requests_now(steady_time _now) const
	{
		return accepts_new_requests() && !rest.resting(_now);
	}
	/// @returns Whether new requests may be sent to it now.
	bool usable(steady_time _now) const
	{
		return accepts_requests_now(_now) && !ejection.ejected(_now) && path_use::none != path;
	}
	/// @returns Whether it is in slow start and can take only a low request rate.
	bool cold(steady_time _now) const
	{
		return _now < cold_until;
	}
	/// @returns Estimated number of requests of all nodes that it holds.
	double estimated_load(steady_time _now) const
	{
		return load.requests(_now);
	}
	/// Records the end of an exchange between this node and the backend server.
	ejection_decision on_exchange_end(
	    backend_signal _signal, steady_time _now, refusal_report _report = refusal_report::none)
	{
		if (backend_signal::refused == _signal && refusal_report::slots_free != _report)
		{
			load.on_refused(registered.slots, _now);
		}
		return ejection.on_exchange_end(_signal, _now);
	}
};
} // namespace larkrack
