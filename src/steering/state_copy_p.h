// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// State copy: decides from where a node that lacks the store's keys copies them, and how fast nodes send
/// copies.
///
/// Inputs: time since the node started to look for the keys and since its last page; whether a live node of
/// its failure domain, of its region, or any live node has the keys; how many nodes of its failure domain
/// that lack the keys rank before it (rendezvous hashing).
///
/// Algorithm:
/// - A copy is sent in pages in the order of the keys, each page by any node that has the keys, so that the
///   copy continues where it stopped when a sender crashes or is busy. Changes in the meantime are requested
///   from the revision of the oldest page on.
/// - A node asks its own failure domain as soon as a node there has the keys. Only the first nodes by rank
///   ask further away, or read the store, each after twice the delay of the node before: a copy enters a
///   failure domain a few times instead of once for each node.
/// - The store is read (by its cheaper read that may be outdated) when no node has the keys, after listening
///   for k_initial_listen_time, or when no page has arrived for k_page_timeout and the node's own turn has
///   come.
/// - A node sends pages at k_page_bytes_per_s: the rest of its link is for callers.
///
/// Purpose: a start of all nodes at once, and nodes that join. With 986 nodes and 10,002 backend servers a
/// copy has 3 MB: no answer in one piece arrived in time over links of 20 Mbit/s, so each node read the
/// store, in 51 pages of which two thirds crossed regions (3,400 calls by their price and most of the 1.3 GB
/// between regions up to the 10th second of a day).
///
/// Scaling: bytes and calls across failure domains grow with the number of failure domains, not of nodes,
/// once the nodes of a failure domain know each other. At a common start they do not for the first half
/// second, in which each node considers itself one of the first and reads the store; this is not solved. The
/// time of a common start grows with the size of the state and the logarithm of the number of nodes of a
/// failure domain, since each node with a copy sends it on.
///
/// Alternatives:
/// - one answer with all keys: its timeout holds for one size only;
/// - a sender drawn among all nodes: two thirds of the copies cross regions.
///
/// Owns the send rate of this node's pages (page_rate_limit). Relies on node_liveness for which nodes are
/// live, and on state_replica for pages and their order.
#pragma once

#include "base/clock_p.h"

#include <cstddef>

namespace larkrack
{
/// Source of the next page for a node without the keys.
enum class copy_step
{
	wait,        ///< None now: other nodes come first, or may answer soon.
	from_domain, ///< A node of its failure domain.
	from_region, ///< A node of its region.
	from_anyone, ///< Any node.
	from_store,  ///< The store, in one read.
};

/// Inputs of plan_copy().
struct copy_view
{
	steady_time::duration passed{}; ///< Time since the node started to look for the keys.
	/// Time since a page arrived, a node answered that it is busy sending pages to others, or no node had the
	/// keys.
	steady_time::duration since_page{};
	std::size_t rank = 0; ///< Number of nodes of its failure domain without the keys that rank before it.
	bool domain_has_keys = false; ///< Whether a live node of the failure domain has the keys.
	bool region_has_keys = false; ///< Whether a live node of the region has the keys.
	bool anyone_has_keys = false; ///< Whether any live node has the keys.
};

/// @returns The source of the next page, or that the node has to wait.
copy_step plan_copy(const copy_view& _view);

/// Interval in milliseconds at which a node checks whether the keys have arrived. Longer: a node is ready
/// later. Shorter: more wake-ups.
constexpr std::chrono::milliseconds k_copy_check_interval{25};
/// Milliseconds after which a node that got no page asks again.
constexpr std::chrono::milliseconds k_copy_retry_pause{50};
/// Bytes of keys and values in one page. More: a page occupies a narrow link for longer. Fewer: more round
/// trips, 70 ms each to another region. A compressed page has about an eighth of these bytes.
constexpr std::size_t k_page_bytes = 262144;

/// Limits the rate of the pages that this node sends, by their bytes as sent.
class page_rate_limit
{
public:
	/// @returns Whether a page may be sent now.
	bool may_send_page(steady_time _now) const;
	/// Counts a page that was sent.
	void on_page_sent(std::size_t _bytes, steady_time _now);

private:
	steady_time m_free_at{}; ///< Time at which all pages are sent, at the steady rate.
};
} // namespace larkrack
