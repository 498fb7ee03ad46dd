// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// How often each affinity key is asked for, in bounded memory.
#pragma once

#include <array>
#include <cstdint>

namespace larkrack
{
/// Counts keys in buckets; old counts fade. Keys that share a bucket are taken for one, so a share is never
/// too small.
class key_shares
{
public:
	/// Counts one request.
	/// @param[in] _key Hash of the affinity key.
	void count(std::uint64_t _key)
	{
		if (k_fade_at <= m_all)
		{
			fade();
		}
		++m_counts[_key % k_buckets];
		++m_all;
	}
	/// @returns Part of all requests that have this key; 0 while too few were counted.
	double share(std::uint64_t _key) const
	{
		return m_all < k_enough ? 0.0 : m_counts[_key % k_buckets] / static_cast<double>(m_all);
	}

private:
	static constexpr std::size_t k_buckets = 512;
	static constexpr std::uint32_t k_enough = 100;
	static constexpr std::uint32_t k_fade_at = 2000;

	void fade()
	{
		m_all = 0;
		for (std::uint16_t& one : m_counts)
		{
			one /= 2;
			m_all += one;
		}
	}

	std::array<std::uint16_t, k_buckets> m_counts{};
	std::uint32_t m_all = 0;
};
} // namespace larkrack
