// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Bounds retries to a share of first tries.
#pragma once

#include "larkrack/config.h"

#include <algorithm>
#include <mutex>

namespace larkrack
{
/// Thread-safe. Each first try earns a share of a retry.
class retry_budget
{
public:
	/// @param[in] _share Retries for each first try.
	/// @param[in] _burst Retries that may be saved up.
	explicit retry_budget(double _share = k_retry_share, double _burst = k_retry_burst)
	    : m_share(_share), m_burst(_burst), m_saved(_burst)
	{
	}
	/// Counts a first try.
	void earn()
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		m_saved = std::min(m_burst, m_saved + m_share);
	}
	/// @returns Whether a retry may be made; it is then counted.
	bool spend()
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		if (m_saved < 1.0)
		{
			return false;
		}
		m_saved -= 1.0;
		return true;
	}

private:
	std::mutex m_mutex;
	double m_share;
	double m_burst;
	double m_saved;
};
} // namespace larkrack
