// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What traffic threads see of the control state: one immutable snapshot, swapped by pointer.
///
/// For: a request is handled under one consistent state, and no traffic thread waits for the control
/// thread.
/// Owns: view_publisher holds the newest snapshot; a request keeps the one it began with alive.
/// Relies on: control, which publishes several times in a heartbeat interval and after each change.
#pragma once

#include "larkrackd/gate_p.h"
#include "larkrackd/membership_p.h"
#include "larkrackd/mix_p.h"
#include "larkrackd/policy_p.h"

#include <atomic>
#include <memory>
#include <vector>

namespace larkrack
{
/// An entry VM as traffic threads see it.
struct peer_view
{
	bool alive = false;
	bool leaving = false; ///< Gets no new look-ups and no relays.
	incarnation life;
	std::vector<service_headroom> rooms; ///< Its slots as it last reported them, by service handle.
};

/// One service as traffic threads see it.
struct service_view
{
	mix plan;               ///< Which region serves the callers of each home region.
	std::vector<bool> open; ///< By region handle: some entry VM there can serve.
};

/// One snapshot. Handles are those of its own policy.
struct traffic_view
{
	policy_ptr rules;
	entry_vm_handle self;
	region_handle region;
	incarnation life;
	std::vector<peer_view> peers;       ///< By entry VM handle.
	std::vector<service_view> services; ///< By service handle.
	bool stopping = false;
	bool first_life = false; ///< No earlier process of this entry VM can have run a key.
};
using view_ptr = std::shared_ptr<const traffic_view>;

/// Hands snapshots from the control thread to traffic threads.
class view_publisher : public service_base
{
public:
	const char* name() const override
	{
		return "view_publisher";
	}
	void publish(view_ptr _view)
	{
		std::atomic_store(&m_view, std::move(_view));
	}
	/// @returns The newest snapshot; null before the first.
	view_ptr get() const
	{
		return std::atomic_load(&m_view);
	}

private:
	view_ptr m_view;
};
} // namespace larkrack
