// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Immutable snapshot of the control state for traffic threads, replaced by an atomic pointer swap.
///
/// For: each request is handled under one consistent state, and no traffic thread waits for the control
/// thread.
/// Owns: view_publisher holds the newest snapshot; each request holds the snapshot that it started with.
/// Relies on: control, which publishes several times per heartbeat interval and after each change.
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
/// State of one entry VM.
struct peer_view
{
	bool alive = false;
	/// The entry VM is stopping or drained: not listed in look-ups, gets no relayed requests.
	bool leaving = false;
	incarnation life;
	std::vector<service_headroom> rooms; ///< Last reported headroom, by service handle.
};

/// State of one service.
struct service_view
{
	mix plan;               ///< Distribution of the callers of each home region among regions.
	std::vector<bool> open; ///< By region handle: whether some entry VM there can serve.
};

/// One snapshot. Handles are valid for its own policy only.
struct traffic_view
{
	policy_ptr rules;
	entry_vm_handle self;
	region_handle region;
	incarnation life;
	std::vector<peer_view> peers;       ///< By entry VM handle.
	std::vector<service_view> services; ///< By service handle.
	bool stopping = false;
	bool is_first_incarnation = false; ///< No earlier incarnation of this entry VM can have run a key.
};
using view_ptr = std::shared_ptr<const traffic_view>;

/// Passes snapshots from the control thread to traffic threads. Thread-safe.
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
	/// @returns The newest snapshot; null before the first publish().
	view_ptr get() const
	{
		return std::atomic_load(&m_view);
	}

private:
	view_ptr m_view;
};
} // namespace larkrack
