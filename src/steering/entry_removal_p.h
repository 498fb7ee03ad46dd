// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides when a backend server whose entry vanished from the registry counts as gone.
///
/// Inputs: when this node saw the entry vanish; when its calls to the store began to fail and when the
/// store answered again, itself or another node of the region (steady clock).
///
/// Rule: an entry has a lease, and a lease can lapse because its owner left or because the store was away.
/// An entry that vanished while the store answered is honoured after k_removal_delay. One that vanished
/// during an outage is kept until owners that live have had time to write it again (k_lapse_repair behind
/// the store's return), and k_removal_delay_outage at the latest. Outages shorter than k_harmless_outage
/// lapse nothing. What vanished before the outage goes as always.
///
/// Why not another way:
/// - at once: the entry of a backend server that renews late would take it out of use; not measured;
/// - after 1,000 ms: by the sum of all delays on 80 nodes requests could go to it for 2.6 s, near the bound
///   of 2 to 3 s;
/// - distrust of the store for a fixed time behind each trouble, also a lost history: a backend server that
///   left after the outage was kept for 6 s, and 3 requests came 3,166 ms after its entry vanished.
///
/// Relies on: state_replica to ask at each tick and to forget what came back.
#pragma once

#include "base/clock_p.h"

#include <optional>

namespace larkrack
{
/// Why an entry is kept until its time.
enum class removal_reason
{
	vanished,       ///< The store answered: the short delay.
	store_away,     ///< The store does not answer yet: the long delay.
	store_returned, ///< Until owners that live have written their entries again.
};

struct removal_decision
{
	steady_time due{}; ///< From then on the backend server is gone.
	removal_reason reason = removal_reason::vanished;
};

/// Remembers the store's last outage, and judges vanished entries by it.
class entry_removal
{
public:
	/// @returns Whether the store is away, as far as was told.
	bool in_outage() const
	{
		return m_lost_at && !m_lapses_until;
	}
	/// Takes that a call to the store failed.
	void on_store_lost(steady_time _now);
	/// Takes that the store answers.
	void on_store_regained(steady_time _now);
	/// @returns When an entry that vanished then is honoured, as far as is known now.
	removal_decision plan(steady_time _vanished_at) const;

private:
	/// Begin of the store's last outage, as this node saw it.
	std::optional<steady_time> m_lost_at;
	/// When entries that lapsed during that outage are back; nothing while the store is away.
	std::optional<steady_time> m_lapses_until;
};
} // namespace larkrack
