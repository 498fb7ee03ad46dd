// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Key frequency: how often each affinity key is requested, in bounded memory.
///
/// Estimates the fraction of a service's requests that have a key, so that a frequent key gets more backend
/// servers (backend_choice_p.h). Input: the key of each first attempt. Algorithm: a counting hash table of
/// fixed size whose counts are halved from time to time. Keys that share a bucket are counted together, so a
/// frequency is never underestimated.
#pragma once

#include "steering/affinity_key_p.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace larkrack
{
/// Buckets for each service, 2 bytes each. Higher values separate more keys and use more memory.
constexpr std::size_t k_key_buckets = 512;
/// Requests below which no frequency is reported. Lower values report noise, higher values delay more backend
/// servers for a frequent key.
constexpr std::uint32_t k_min_counted_requests = 100;
/// Requests after which all counts are halved. Lower values follow changes sooner, higher values give
/// steadier frequencies; counts must fit into 16 bits.
constexpr std::uint32_t k_halve_at_requests = 2000;

/// Counts keys in buckets; old counts decay.
class key_frequency
{
public:
	/// Counts one request.
	void count(affinity_key _key)
	{
		if (k_halve_at_requests <= m_all)
		{
			halve();
		}
		++m_counts[_key.hash % k_key_buckets];
		++m_all;
	}
	/// @returns Fraction of all requests that have this key; 0 while too few were counted.
	double frequency_of(affinity_key _key) const
	{
		return m_all < k_min_counted_requests
		           ? 0.0
		           : m_counts[_key.hash % k_key_buckets] / static_cast<double>(m_all);
	}

private:
	void halve()
	{
		m_all = 0;
		for (std::uint16_t& one : m_counts)
		{
			one /= 2;
			m_all += one;
		}
	}

	std::array<std::uint16_t, k_key_buckets> m_counts{};
	std::uint32_t m_all = 0;
};
} // namespace larkrack
