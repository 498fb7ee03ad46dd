// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What decisions need to know of one backend server; its address and connections are not among it.
///
/// Decides whether a backend server is meant to get new requests (its registration, evacuations, slow
/// start) and whether it gets them now (its rests and outlier ejection besides). How many requests it holds:
/// load_estimate_p.h.
///
/// Relies on: backend_registry, which owns the objects and puts in what the platform's registry says.
#pragma once

#include "steering/backend_limit_p.h"
#include "steering/backend_rest_p.h"
#include "steering/load_estimate_p.h"
#include "steering/names_p.h"
#include "steering/outlier_ejection_p.h"
#include "steering/rollout_p.h"
#include "steering/token_bucket_p.h"

#include <cstdint>

namespace larkrack
{
/// What a backend server says of itself in the platform's registry. A new start has a new id, or the id of
/// before with another time of its start.
struct backend_registration
{
	backend_id id;
	std::int64_t born_ms = 0; ///< When it started, as Unix milliseconds; 0: it does not say.
	service_name service;
	domain_name domain;
	version_name version;                     ///< Of its software.
	int slots = 1;                            ///< Requests that it runs at once.
	bool draining = false;                    ///< It ends what it has and wants no new requests.
	std::chrono::milliseconds warmup_left{0}; ///< Until it is warm, from the moment this was written.
};

/// @returns Hash of one life of a backend server: what is counted of a former life is not counted of a new
/// one.
std::uint32_t life_hash(const backend_registration& _registration);

/// One backend server.
struct backend_state
{
	backend_registration registered;
	region_name region;        ///< Empty: its failure domain is in no known region.
	std::uint32_t id_hash = 0; ///< Stands for this life of it in heartbeats, see life_hash().
	bool gone = false;         ///< Its entry left the registry.
	bool evacuated = false;    ///< Its failure domain is being evacuated.
	steady_time cold_until{};  ///< Slow start until then.
	int connections = 0;       ///< Open connections of this node.
	int idle_connections = 0;  ///< Those of them that no request uses.
	token_bucket warmup;       ///< This node's part of the request rate that it bears while cold.
	load_estimate load;        ///< Requests that it holds.
	outlier_ejection ejection; ///< Its failures.
	named_limit limit;         ///< What it takes a second from all nodes, if it says so.
	backend_rest rest;         ///< Time for which it wants nothing from this node.
	bool said_leaving = false; ///< Beside an answer to this node, whatever its entry says.

	/// Its entry and its answers may differ on whether it leaves: either word is enough. The one of an answer
	/// holds for its life, the one of an entry until the next entry.
	/// @returns Whether it is meant to get new requests, failures left aside.
	bool accepts_new_requests() const
	{
		return !gone && !evacuated && !registered.draining && !said_leaving;
	}
	/// @returns Whether it wants requests of this node now, failures left aside.
	bool wants_requests(steady_time _now) const
	{
		return accepts_new_requests() && !rest.resting(_now);
	}
	/// @returns Whether new requests may be sent to it now.
	bool usable(steady_time _now) const
	{
		return wants_requests(_now) && !ejection.ejected(_now);
	}
	/// @returns Whether it is in slow start: it bears a small rate of requests only.
	bool cold(steady_time _now) const
	{
		return _now < cold_until;
	}
	/// @returns Requests that it probably holds, of all nodes.
	double estimated_load(steady_time _now) const
	{
		return load.requests(_now);
	}
	/// Takes the end of an exchange of this node with it.
	ejection_decision on_exchange_end(backend_signal _signal, steady_time _now)
	{
		if (backend_signal::refused == _signal)
		{
			load.on_refused(registered.slots, _now);
		}
		return ejection.on_exchange_end(_signal, _now);
	}
};
} // namespace larkrack
