// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides when a backend server whose entry vanished from the registry counts as gone.
///
/// Inputs: when this node saw the entry vanish; when its calls to the store began to fail; and when the store
/// became reachable again, from this node or from another node of the region (steady clock).
///
/// Algorithm: an entry has a lease, which can expire because its owner left or because the store was
/// unreachable. An entry that vanished while the store was reachable is removed after k_removal_delay. An
/// entry that vanished during an outage is kept until live owners have had time to write it again
/// (k_reregistration_time after the end of the outage), but at most for k_removal_delay_outage. Outages
/// shorter than k_min_relevant_outage let no lease expire. Entries that vanished before the outage are
/// removed as usual.
///
/// Alternatives:
/// - immediate removal: a backend server that renews its lease late would be removed;
/// - removal after 1,000 ms: by the sum of all delays with 80 nodes, requests could be sent to the backend
///   server for 2.6 s, close to the bound of 2 to 3 s;
/// - distrusting the store for a fixed time after each failure, including a lost history: a backend server
///   that left after the outage was kept for 6 s, and 3 requests arrived 3,166 ms after its entry vanished.
///
/// Relies on state_replica to call plan() at each tick and to drop entries that reappeared.
#pragma once

#include "base/clock_p.h"

#include <optional>

namespace larkrack
{
/// Why an entry is kept until its removal.
enum class removal_reason
{
	vanished,          ///< The store was reachable: short delay.
	store_unreachable, ///< The store is still unreachable: long delay.
	store_recovered,   ///< Waits until live owners have written their entries again.
};

struct removal_decision
{
	steady_time due{}; ///< When the backend server counts as gone.
	removal_reason reason = removal_reason::vanished;
};

/// Tracks the last store outage, and plans the removal of vanished entries.
class entry_removal
{
public:
	/// @returns Whether the store is unreachable, according to the last call.
	bool in_outage() const
	{
		return m_lost_at && !m_reregistered_by;
	}
	/// Records that a call to the store failed.
	void on_store_lost(steady_time _now);
	/// Records that the store is reachable.
	void on_store_recovered(steady_time _now);
	/// @returns When an entry that vanished at the given time is removed, by what is known now.
	removal_decision plan(steady_time _vanished_at) const;

private:
	/// Start of the last store outage, as seen by this node.
	std::optional<steady_time> m_lost_at;
	/// When live owners have written their entries again after the outage; nothing while the store is
	/// unreachable.
	std::optional<steady_time> m_reregistered_by;
};
} // namespace larkrack
