// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Ledger of the memory that this process holds on behalf of its connections: the one owner of their sum.
///
/// Inputs: the bytes of each holder, as they change; the memory of the process; the time (steady clock).
///
/// Algorithm: all holders together may have k_held_share of the memory of the process. Those that hold more
/// than k_small_bytes may not have the last k_small_reserve of that, so that small requests find room while
/// large ones hold all the rest. Responses whose strings are copied as they grow may have k_growing_share of
/// it. Where a change exceeds a bound, holders end until all fit:
/// - first those that have made no progress for k_stall_time, the largest first;
/// - then responses without a stated length, then what is being read, then what is being sent, each with the
///   largest first;
/// - where only small ones are left, the one that has made no progress for longest.
/// A holder that can't end (a request that was sent to a backend server) stays until it is done; what comes
/// beside it has only the rest.
///
/// Alternatives:
/// - a bound for each kind of holder: their sum has to fit, so each is small while the others are idle;
/// - a bound for each caller: all callers of a site may come from one address;
/// - room reserved by stated lengths: callers that state much and send nothing take all of it.
///
/// Owns the sum. Relies on holders to report each change, and to end when they are told to.
#pragma once

#include "base/clock_p.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_set>

namespace larkrack
{
/// Default maximum size of the body of a response, MB (2^20 bytes).
constexpr int k_max_response_mb = 64;
/// Maximum bytes of a small holder: a usual request with its buffer.
constexpr std::uint64_t k_small_bytes = 65536;
/// Time without progress after which a holder ends before all others, milliseconds; up to twice as long in
/// practice. Longer: bodies that never end take the room of those that do. Shorter: a lost packet counts.
constexpr std::chrono::milliseconds k_stall_time{500};

/// What bytes are held for.
enum class memory_use
{
	connection,       ///< An open connection of a caller and its buffer.
	incoming_request, ///< A request that is being read.
	request,          ///< A whole request, until it has its response and nothing sends it any more.
	response,         ///< A response of a backend server or a relay that is being read.
	growing_response, ///< The same without a stated length: its string is copied as it grows.
	outgoing_response ///< A response that its caller has not taken yet.
};
constexpr std::size_t k_memory_uses = 6;

/// @returns Name in the log and in metrics.
const char* to_string(memory_use _use);

/// Something that holds memory and can end before it is done.
class memory_holder_base
{
public:
	virtual ~memory_holder_base() = default;
	/// Ends it. Its claim is 0 already.
	virtual void end_for_memory() = 0;
};

/// Hears of holders that ended.
class memory_listener_base
{
public:
	virtual ~memory_listener_base() = default;
	/// @param[in] _bytes That the holder had.
	virtual void on_memory_end(memory_use _use, std::uint64_t _bytes) = 0;
};

class memory_claim;

/// All claims of a process. Lives as long as any of them.
class memory_ledger
{
public:
	/// @param[in] _max_response_mb Maximum size of the body of one response, MB.
	/// @param[in] _process_mb Memory of this process, MB; absent: no bound for all together.
	void set_limits(int _max_response_mb, std::optional<int> _process_mb);
	/// @param[in] _listener Null: nobody. Must outlive the claims otherwise.
	void set_listener(memory_listener_base* _listener)
	{
		m_listener = _listener;
	}
	/// @returns Maximum size of the body of one response, bytes.
	std::uint64_t max_response_bytes() const
	{
		return m_max_response_bytes;
	}
	/// @returns Bytes of all claims.
	std::uint64_t held() const
	{
		return m_held;
	}
	std::uint64_t held(memory_use _use) const
	{
		return m_by_use[static_cast<std::size_t>(_use)];
	}
	/// @returns Holders that were ended for others.
	std::uint64_t ends(memory_use _use) const
	{
		return m_ends[static_cast<std::size_t>(_use)];
	}
	/// @returns Bytes that one holder may have if nothing else is held.
	std::uint64_t max_large_bytes() const
	{
		return m_max_large;
	}
	/// @returns Whether a request of that size fits beside the holders that can't end.
	bool fits(std::uint64_t _bytes) const
	{
		return _bytes <= k_small_bytes || m_fixed + _bytes <= m_max_large;
	}

	/// Notices which holders make no progress; call it at an interval below k_stall_time.
	void tick(steady_time _now);

private:
	friend class memory_claim;
	/// In which order holders end.
	enum class rank
	{
		small,
		outgoing,
		reading,
		growing,
		stalled,
	};
	rank rank_of(const memory_claim& _claim) const;
	void add(const memory_claim& _claim);
	void remove(const memory_claim& _claim);
	/// Ends holders until all fit.
	void make_room();
	/// @returns The claim whose holder has to end first; null: none can.
	memory_claim* choose() const;

	std::uint64_t m_max_response_bytes = static_cast<std::uint64_t>(k_max_response_mb) << 20U;
	std::uint64_t m_max_held = UINT64_MAX;
	std::uint64_t m_max_large = UINT64_MAX;
	std::uint64_t m_max_growing = UINT64_MAX;
	std::uint64_t m_held = 0;
	std::uint64_t m_large = 0; ///< Of claims above k_small_bytes.
	std::uint64_t m_fixed = 0; ///< Of those of them that can't end.
	std::uint64_t m_changes = 0;
	std::uint64_t m_marked_changes = 0;  ///< Value of m_changes at m_marked_at.
	std::uint64_t m_stalled_changes = 0; ///< The same at the mark before: claims up to it are stalled.
	steady_time m_marked_at{};
	std::array<std::uint64_t, k_memory_uses> m_by_use{};
	std::array<std::uint64_t, k_memory_uses> m_ends{};
	/// Claims that can end, without those of a size that idle connections have.
	std::unordered_set<memory_claim*> m_endable;
	memory_listener_base* m_listener = nullptr;
};

using memory_ledger_ptr = std::shared_ptr<memory_ledger>;

/// The bytes of one holder. Returns them when it is destroyed.
class memory_claim
{
public:
	/// @param[in] _ledger Null: nothing is counted.
	/// @param[in] _holder Null: it can't end.
	explicit memory_claim(memory_ledger_ptr _ledger, memory_holder_base* _holder = nullptr)
	    : m_ledger(std::move(_ledger)), m_holder(_holder)
	{
	}
	~memory_claim()
	{
		release();
	}
	memory_claim(const memory_claim&) = delete;
	memory_claim& operator=(const memory_claim&) = delete;

	/// Changes the bytes. May end the holder, or another one.
	void set(std::uint64_t _bytes, memory_use _use);
	/// The holder makes progress that does not change its bytes.
	void touch();
	/// Sets the bytes to 0.
	void release();
	std::uint64_t bytes() const
	{
		return m_bytes;
	}

private:
	friend class memory_ledger;
	memory_ledger_ptr m_ledger;
	memory_holder_base* m_holder;
	std::uint64_t m_bytes = 0;
	std::uint64_t m_change = 0; ///< Number of the last change.
	memory_use m_use = memory_use::connection;
};
} // namespace larkrack
