// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Token bucket that bounds the retries of one larkrackd; first tries fill it.
///
/// Decides: whether a retry may be made. It bounds what retries add to the load while backend servers are
/// slow.
/// Owns: the tokens, shared by the traffic threads of one process.
/// The retry budget of larkrack-edge differs: it keeps a ratio that operators set within a sliding window.
/// This one has fixed figures (larkrack/config.h), and its burst is saved up without a time limit.
#pragma once

#include "larkrack/config.h"

#include <algorithm>
#include <mutex>

namespace larkrack
{
/// Thread-safe. Each first try adds a part of a token; a retry takes a whole one.
class retry_token_bucket
{
public:
	/// @param[in] _share Tokens for each first try, 0 to 1.
	/// @param[in] _burst Tokens that may be saved up; the bucket starts full.
	explicit retry_token_bucket(double _share = k_retry_share, double _burst = k_retry_burst)
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
	double m_saved; ///< Tokens.
};
} // namespace larkrack
