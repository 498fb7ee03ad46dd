// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The configuration in force at this node, and its recent changes. Takes only higher revisions.
#pragma once

#include "message_p.h"
#include "policy_p.h"

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

/// One thread.
class config_book
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
		revision base;
		revision rev;
		std::vector<std::string> keys;
	};
	void remember(const config_state& _next);

	config_state m_state;
	policy_ptr m_policy;
	std::deque<change> m_changes;
	std::vector<mistake> m_mistakes;
};
} // namespace larkrack
