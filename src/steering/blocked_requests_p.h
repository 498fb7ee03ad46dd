// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Blocked requests: those that are sent to no backend server any more, as each node knows them.
///
/// Inputs: what nodes tell each other and what stands in the store of requests that are to blame for ends of
/// backend servers (crash_evidence_p.h); the versions that serve.
///
/// Rule: a blocked request is refused at once. It is let through alone, once, so that an innocent one that
/// ran beside the one at fault clears itself; and once more when other versions of the service have come,
/// since a release may have mended the fault. Each time it may end one backend server more, so there are
/// k_most_looks in all; whether one may be made is decided by the one node that counts for all.
///
/// Each change of what is known of a request has the next number; an older one that comes late, or comes
/// twice, is passed over. A cleared request is remembered for a while, for the same reason.
///
/// Other ways, in crash_model_test: each node by itself, and each end told to all nodes.
///
/// Relies on: crash_guard to tell of changes, and to hand in those of other nodes and of the store.
#pragma once

#include "steering/request_fingerprint_p.h"

#include "base/clock_p.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace larkrack
{
/// Times that a blocked request is let through, in all. Three sends are all that may follow the third end,
/// and one of them may be under way when the request is blocked.
constexpr std::uint32_t k_most_looks = 2;
/// Least time between two looks: the other versions have come, and not just one backend server of them.
constexpr std::chrono::seconds k_look_pause{10};
/// Time for which a block is kept while the request does not come. Longer: memory. Shorter: the next one
/// ends three backend servers again.
constexpr std::chrono::minutes k_block_kept{60};
/// Time for which it is remembered that a request was cleared: longer than a late message takes.
constexpr std::chrono::minutes k_clear_kept{1};
/// Requests that are remembered; those that did not come for longest are forgotten first.
constexpr std::size_t k_most_blocked = 4096;

/// What is known of one request.
struct request_block
{
	request_fingerprint request; ///< With k_any_caller: whoever sends it.
	bool blocked = true;         ///< False: it was cleared.
	std::uint32_t number = 0;    ///< Of the change.
	std::uint32_t looks = 0;     ///< Times that it was let through.
	std::uint32_t versions = 0;  ///< Hash of the versions that served at the last look.
};

/// What a node does with a request.
enum class block_decision
{
	open,    ///< It is not blocked.
	may_ask, ///< It is blocked, and a look may be had of the node that counts.
	refuse,  ///< It is blocked.
};

/// All that is known of blocked requests at one node.
class blocked_requests
{
public:
	/// Takes what is told of a request.
	/// @returns Whether it is new here.
	bool take(const request_block& _block, steady_time _now);
	/// Takes away what is known of a request, since its key has left the store.
	void remove(const request_fingerprint& _request);
	/// @returns Whether a request with that head may be blocked; costs one step while none is.
	bool may_match(std::uint64_t _head) const
	{
		return !m_heads.empty() && m_heads.end() != m_heads.find(_head);
	}
	/// Decides on a request that has come. Takes note that it comes.
	/// @param[in] _versions Hash of the versions that serve.
	block_decision decide(const request_fingerprint& _request, std::uint32_t _versions, steady_time _now);
	/// Grants a look, at the node that counts.
	/// @returns What is to be told of the request then; nothing: it has to stay away.
	std::optional<request_block> grant_look(
	    const request_fingerprint& _request, std::uint32_t _versions, steady_time _now);
	/// Takes a look back that reached no backend server.
	/// @returns What is to be told of the request then; nothing: it is not blocked any more.
	std::optional<request_block> return_look(const request_fingerprint& _request, steady_time _now);
	/// @returns The entry that blocks a request, for its caller or for any; null: it is open.
	const request_block* find(const request_fingerprint& _request) const;
	/// @returns What is known of exactly this request and caller, cleared or not; null: nothing.
	const request_block* known(const request_fingerprint& _request) const;
	bool empty() const
	{
		return m_entries.empty();
	}
	/// @returns Requests that are blocked.
	std::size_t size() const;
	/// Forgets what is too old; call it at a steady interval.
	/// @returns Blocked requests that have been forgotten.
	std::vector<request_fingerprint> tick(steady_time _now);

private:
	struct entry
	{
		request_block block;
		steady_time seen_at{};   ///< When it was told of, or came.
		steady_time next_look{}; ///< By the looks that this node granted.
	};
	using entry_map = std::map<request_fingerprint, entry>;

	entry* find_entry(const request_fingerprint& _request);
	bool may_look(const request_block& _block, std::uint32_t _versions) const;
	entry_map::iterator forget(entry_map::iterator _entry);
	void make_room();

	entry_map m_entries;
	std::unordered_map<std::uint64_t, std::size_t> m_heads; ///< Entries by head.
};
} // namespace larkrack
