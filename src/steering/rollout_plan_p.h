// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rollout plan: decides how a rollout ends, and when a node writes its state to the store.
///
/// Inputs: the order; the state in the store; time since this node learned of the order; the evidence;
/// whether this node is the first node to write or its backup.
///
/// Algorithm:
/// - "running" is written at once; "rolled back" as soon as the version is found bad; "complete" at
///   k_complete_fraction of the duration, if requests have ended at the target version and it was not found
///   bad. Until then the version is watched, so one that turns bad late is detected. A version without any
///   request by k_give_up_fraction of the duration is rolled back, since nothing is known about it.
/// - The first of two nodes (node_ring_p.h) writes; the backup node writes k_backup_write_delay later if the
///   state has not changed. Both write under the condition that the key in the store is unchanged, so a
///   decided rollout stays decided, even if several nodes consider themselves the first.
///
/// Alternatives: a lease for the deciding node. The conditional write gives the same guarantee without a key
/// to keep alive.
///
/// Relies on the conditional writes of the store.
#pragma once

#include "base/clock_p.h"
#include "steering/rollout_p.h"
#include "steering/rollout_verdict_p.h"

#include <optional>

namespace larkrack
{
/// Rank of a node among those that decide a rollout.
enum class decider_rank
{
	first,
	backup,
	none,
};

/// Inputs of plan_rollout().
struct rollout_view
{
	std::optional<rollout_state> written; ///< State in the store; nothing: no status of this order.
	steady_time::duration passed{};       ///< Time since this node learned of the order.
	steady_time::duration bad_for{};      ///< Time since the evidence first showed that the version is bad.
	rollout_verdict verdict;
	std::uint32_t ended_at_target = 0; ///< Requests that ended at the target version.
	decider_rank rank = decider_rank::none;
};

/// Reason for which a state is written.
enum class rollout_reason
{
	ordered,       ///< Running: this node knows the order.
	found_bad,     ///< Rolled back: the evidence shows that the version is bad.
	no_requests,   ///< Rolled back: no request ended at the target version in time.
	not_found_bad, ///< Complete: the version was not found bad in time.
};

/// State that a node has to write.
struct rollout_step
{
	rollout_state state;
	rollout_reason reason;
};

/// @returns The state that this node has to write now, or nothing.
std::optional<rollout_step> plan_rollout(const rollout_order& _order, const rollout_view& _view);
/// @returns Whether a status belongs to this order, and not to an earlier one.
bool is_status_of(const rollout_status& _status, const rollout_order& _order);
} // namespace larkrack
