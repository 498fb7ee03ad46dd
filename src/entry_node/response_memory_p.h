// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Memory for responses of backend servers that are being read: a bound for each, one for all of them, and a
/// lower one for those that state no length. Where all together need more, the one ends that states no length
/// and holds most, else the largest one.
///
/// Owns the sizes. Relies on the exchanges to report theirs as they grow, and to release them at their end.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace larkrack
{
/// An exchange whose response takes memory.
class response_holder_base
{
public:
	virtual ~response_holder_base() = default;
	/// Ends the exchange without its response.
	virtual void end_for_memory() = 0;
};

/// Default maximum size of the body of a response, MB (2^20 bytes).
constexpr int k_max_response_mb = 64;

/// Memory that responses hold.
class response_memory
{
public:
	/// @param[in] _max_response_mb Maximum size of one body, MB.
	/// @param[in] _process_mb Memory of this process, MB; absent: no bound for all together.
	void set_limits(int _max_response_mb, std::optional<int> _process_mb);
	/// @returns Maximum size of one body in bytes.
	std::uint64_t max_response_bytes() const
	{
		return m_max_response_bytes;
	}
	/// @returns Bytes that all holders have reported.
	std::uint64_t held() const
	{
		return m_held;
	}
	/// Reports the size of a response that grows. May end its exchange, or another one.
	void set(response_holder_base& _holder, std::uint64_t _bytes, bool _has_length);
	/// Releases what an exchange has reported; call it at its end.
	void release(response_holder_base& _holder);

private:
	struct holding
	{
		std::uint64_t bytes = 0;
		bool has_length = false;
	};
	/// @returns Whether the responses hold more than one of the bounds of all together.
	bool exceeded() const;
	/// @returns The holder that has to end first.
	response_holder_base* choose() const;

	std::uint64_t m_max_response_bytes = static_cast<std::uint64_t>(k_max_response_mb) << 20U;
	std::uint64_t m_max_held = UINT64_MAX;
	std::uint64_t m_held = 0;
	std::map<response_holder_base*, holding> m_holders;
};
} // namespace larkrack
