// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rollout: moves the requests of a service to the backend servers of another version of its software.
///
/// An operator orders a rollout. The nodes judge the version by a small fraction of the requests, and write
/// the result to the store. See rollout_share_p.h (which requests), rollout_verdict_p.h (judging), and
/// rollout_plan_p.h (when to write what). This file holds the types that these modules share.
#pragma once

#include "steering/names_p.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace larkrack
{
/// Version of the software of backend servers.
using version_name = text_id<struct version_name_tag>;

/// Rollout ordered by an operator.
struct rollout_order
{
	service_name service;
	version_name target;                   ///< Version that is to serve the requests.
	std::chrono::milliseconds duration{0}; ///< Time from the order until the rollout has to be decided.
	std::int64_t revision = 0;             ///< Revision of the store at which the order was written.
};

/// State of a rollout. It changes only from running to one of the others; a new order starts again from
/// running.
enum class rollout_state
{
	running,
	complete,    ///< The target version serves all requests.
	rolled_back, ///< The target version gets no requests.
};

/// State of a rollout as the nodes wrote it to the store.
struct rollout_status
{
	service_name service;
	version_name target;
	rollout_state state = rollout_state::running;
	std::int64_t revision = 0; ///< Revision of the store at which the status was written.
};

/// Backend servers to which a request may go while a version is judged.
enum class version_side
{
	any,    ///< No rollout is running.
	target, ///< Backend servers of the target version.
	others, ///< All other backend servers.
};

/// Selects the backend servers that a choice may use.
struct version_rule
{
	version_side side = version_side::any;
	version_name target;

	bool admits(const version_name& _version) const
	{
		return version_side::any == side || (version_side::target == side) == (_version == target);
	}
};
} // namespace larkrack
