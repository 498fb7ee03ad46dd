// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// This node's copy of the agreed configuration.
///
/// Decides: whether an offered configuration replaces the one in force. It must have a higher revision, fit
/// the revision here when it holds changes only, and be valid as a whole.
/// Owns: the configuration in force, its policy, and the keys of its last changes, from which peers that
/// are behind are sent a difference. In memory only: a node that starts anew gets it from the store or a
/// peer.
/// Relies on: policy for validity; platform_sync for reading the store and asking peers.
/// Units: revisions only grow; bytes and seconds for a change and a whole transfer: docs/CAPACITY.md.
#pragma once

#include "larkrackd/message_p.h"
#include "larkrackd/policy_p.h"

#include <deque>

namespace larkrack
{
/// What became of an offered configuration.
enum class take_status
{
	taken,
	not_newer, ///< The node has this revision or a higher one.
	gap,       ///< The changes start from a revision that the node does not have.
	invalid,   ///< It breaks the rules; nothing of it was taken.
};

/// Not thread-safe: control thread only.
class config_replica
{
public:
	/// Takes a whole configuration.
	take_status take(config_state _state);
	/// Takes a whole configuration, or changes.
	take_status take(const message_config& _message);
	/// @returns What somebody with a revision needs: changes when they are known, else everything.
	message_config since(revision _have) const;
	const config_state& state() const
	{
		return m_state;
	}
	/// @returns The policy in force; null before the first.
	const policy_ptr& current() const
	{
		return m_policy;
	}
	/// @returns Mistakes of the last configuration that was refused.
	const std::vector<mistake>& mistakes() const
	{
		return m_mistakes;
	}

private:
	struct change
	{
		revision base;                 ///< Revision before.
		revision rev;                  ///< Revision after.
		std::vector<std::string> keys; ///< Resources that were set or removed.
	};
	void remember(const config_state& _next);

	config_state m_state;
	policy_ptr m_policy;
	std::deque<change> m_changes;
	std::vector<mistake> m_mistakes;
};
} // namespace larkrack
