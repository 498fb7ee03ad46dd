// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Token bucket that limits the retries of one larkrackd; first attempts add tokens.
///
/// Decides: whether a retry may be made. The bucket limits the load that retries add while backend servers
/// are slow.
/// Owns: the tokens, shared by the traffic threads of one process.
/// Relies on: the constants in larkrack/config.h. The retry budget of larkrack-edge differs: it keeps a
/// ratio, set by operators, within a sliding window, whereas tokens of this bucket never expire.
#pragma once

#include "larkrack/config.h"

#include <algorithm>
#include <mutex>

namespace larkrack
{
/// Thread-safe. Each first attempt adds a fraction of a token; a retry takes one token.
class retry_token_bucket
{
public:
	/// @param[in] _share Tokens that each first attempt adds, 0 to 1.
	/// @param[in] _burst Maximum number of tokens; the bucket starts full.
	explicit retry_token_bucket(
	    double _share = k_retry_tokens_per_request, double _burst = k_max_retry_tokens)
	    : m_share(_share), m_burst(_burst), m_tokens(_burst)
	{
	}
	/// Adds the tokens of a first attempt.
	void earn()
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		m_tokens = std::min(m_burst, m_tokens + m_share);
	}
	/// Takes a token if there is one.
	/// @returns Whether a retry may be made.
	bool spend()
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		if (m_tokens < 1.0)
		{
			return false;
		}
		m_tokens -= 1.0;
		return true;
	}

private:
	std::mutex m_mutex;
	double m_share;
	double m_burst;
	double m_tokens; ///< Available tokens.
};
} // namespace larkrack
