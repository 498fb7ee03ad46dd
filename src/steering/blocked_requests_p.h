// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Blocked requests: requests that are not sent to any backend server because they crash them, as known at
/// one node.
///
/// Inputs: block changes from other nodes and from the store, for requests that are blamed for crashes of
/// backend servers (crash_evidence_p.h); the versions of the service that are running.
///
/// Algorithm: a blocked request is refused at once. It is let through alone once, as a trial, so that an
/// innocent request that ran beside the faulty one is cleared; and once more when other versions of the
/// service are running, since a release may have fixed the fault. Each trial may crash one more backend
/// server, so there are at most k_max_trials; the one node that is responsible for the request decides
/// whether a trial may be made.
///
/// Each change to a block has the next number; a change with a number that is not newer (late or duplicate)
/// is ignored. A cleared request is remembered for a while for the same reason.
///
/// Alternatives (crash_model_test): each node on its own, and each crash sent to all nodes.
///
/// Relies on crash_guard to send changes to other nodes and the store, and to pass in changes from them.
#pragma once

#include "steering/request_fingerprint_p.h"

#include "base/clock_p.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace larkrack
{
/// Maximum number of trials of a blocked request. At most three sends may follow the third crash, and one of
/// them may be in flight when the request is blocked.
constexpr std::uint32_t k_max_trials = 2;
/// Minimum time between two trials, so that the other versions are fully rolled out and not on a single
/// backend server.
constexpr std::chrono::seconds k_trial_interval{10};
/// Time for which a block is kept while the request does not arrive. Longer: more memory. Shorter: the next
/// occurrence crashes three backend servers again.
constexpr std::chrono::minutes k_block_retention{60};
/// Time for which a cleared request is remembered: longer than a late message takes.
constexpr std::chrono::minutes k_clear_retention{1};
/// Maximum number of requests that are remembered; those that did not arrive for the longest time are evicted
/// first.
constexpr std::size_t k_max_blocked = 4096;

/// State of one request.
struct request_block
{
	request_fingerprint request; ///< With k_any_caller: applies to all callers.
	bool blocked = true;         ///< False: the request was cleared.
	std::uint32_t number = 0;    ///< Sequence number of the change.
	std::uint32_t trials = 0;    ///< Number of trials so far.
	std::uint32_t versions = 0;  ///< Hash of the versions that were running at the last trial.
};

/// Order of the states of one request: of two, every node keeps the greater one. Two nodes may change a state
/// at the same time and give both changes one number; then a clearance, by which a backend server has served
/// the request, outranks a block, and more trials outrank fewer.
bool operator<(const request_block& _left, const request_block& _right);

/// What a node does with a request.
enum class block_decision
{
	open,              ///< The request is not blocked.
	may_request_trial, ///< The request is blocked, and the responsible node may grant a trial.
	refuse,            ///< The request is blocked.
};

/// Blocked and recently cleared requests known at one node.
class blocked_requests
{
public:
	/// Takes a change of a request's state.
	/// @returns Whether the change is new here.
	bool take(const request_block& _block, steady_time _now);
	/// Removes the block of a request whose key was deleted from the store.
	void remove(const request_fingerprint& _request);
	/// @returns Whether a request with that head may be blocked; constant time.
	bool may_match(std::uint64_t _head) const
	{
		return !m_heads.empty() && m_heads.end() != m_heads.find(_head);
	}
	/// Decides on a request that has arrived, and records its arrival.
	/// @param[in] _versions Hash of the versions that are running.
	block_decision decide(const request_fingerprint& _request, std::uint32_t _versions, steady_time _now);
	/// Grants a trial; called at the responsible node.
	/// @returns The new state, to be sent to other nodes; nothing: no trial is granted.
	std::optional<request_block> grant_trial(
	    const request_fingerprint& _request, std::uint32_t _versions, steady_time _now);
	/// Returns a trial that did not reach a backend server.
	/// @returns The new state, to be sent to other nodes; nothing: the request is not blocked any more.
	std::optional<request_block> return_trial(const request_fingerprint& _request, steady_time _now);
	/// @returns The block that applies to a request, for its caller or for all callers; null: not blocked.
	const request_block* find(const request_fingerprint& _request) const;
	/// @returns State of exactly this request and caller, cleared or not; null: unknown.
	const request_block* known(const request_fingerprint& _request) const;
	bool empty() const
	{
		return m_entries.empty();
	}
	/// @returns Number of blocked requests.
	std::size_t size() const;
	/// Removes expired requests; call it at a regular interval.
	/// @returns Blocked requests that were removed.
	std::vector<request_fingerprint> tick(steady_time _now);

private:
	struct entry
	{
		request_block block;
		steady_time seen_at{};    ///< Time of the last change or arrival.
		steady_time next_trial{}; ///< Earliest next trial, after trials that this node granted.
	};
	using entry_map = std::map<request_fingerprint, entry>;

	entry* find_entry(const request_fingerprint& _request);
	bool trial_allowed(const request_block& _block, std::uint32_t _versions) const;
	entry_map::iterator forget(entry_map::iterator _entry);
	void evict_oldest();

	entry_map m_entries;
	std::unordered_map<std::uint64_t, std::size_t> m_heads; ///< Number of entries by head.
};
} // namespace larkrack
