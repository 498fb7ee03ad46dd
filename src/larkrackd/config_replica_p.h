// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// This node's copy of the configuration that all nodes agree on.
///
/// Decides: whether a received configuration replaces the one in force. The received one must have a higher
/// revision, fit the revision here if it holds changes only, and be valid as a whole.
/// Owns: the configuration in force, the policy built from it, and the keys of its latest changes, from which
/// peers with an older revision are sent a difference. In memory only: after a restart, a node reads the
/// configuration from the store or a peer.
/// Relies on: policy for validation; platform_sync to read the store and ask peers.
/// Units: revisions only grow; bytes and seconds of a change and of a whole transfer: docs/CAPACITY.md.
#pragma once

#include "larkrackd/message_p.h"
#include "larkrackd/policy_p.h"

#include <deque>

namespace larkrack
{
/// Result of applying a received configuration.
enum class apply_status
{
	applied,
	not_newer,    ///< The node has this revision or a higher one.
	unknown_base, ///< The changes start from a revision that this node does not have.
	invalid,      ///< The configuration breaks the rules; no part of it was applied.
};

/// Not thread-safe: control thread only.
class config_replica
{
public:
	/// Applies a whole configuration.
	apply_status apply(config_state _state);
	/// Applies a whole configuration, or changes since an earlier revision.
	apply_status apply(const message_config& _message);
	/// @returns What a node with revision _have lacks: the changes if they are still kept, else the whole
	/// configuration.
	message_config changes_since(revision _have) const;
	const config_state& state() const
	{
		return m_state;
	}
	/// @returns The policy in force; null before the first configuration.
	const policy_ptr& current() const
	{
		return m_policy;
	}
	/// @returns Mistakes of the last configuration that was rejected.
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
	void record_changes(const config_state& _next);

	config_state m_state;
	policy_ptr m_policy;
	std::deque<change> m_kept_changes;
	std::vector<mistake> m_mistakes;
};
} // namespace larkrack
