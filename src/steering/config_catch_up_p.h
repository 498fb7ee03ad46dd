// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Configuration catch-up: decides when a node whose configuration is older than another node's reads it from
/// the store itself.
///
/// Inputs: the version in force here; the highest version that any node has told of, even if that node is out
/// of reach since; the ends of requests for it to other nodes and to the store.
///
/// Algorithm: other nodes are asked first, since a call to the store has a price. From k_store_read_delay
/// after the node has learned that it is behind, or as soon as another node answered without the
/// configuration, the store is read, with a backoff, until it has answered. The answer of the store decides
/// what the newest version is, so that a wrong claim of a node costs one call.
///
/// Purpose: the time from the first word of a newer configuration to its use is a time of this node's own,
/// whatever the nodes that have it do: they may be dead, frozen, cut off, slow or without the configuration.
///
/// Alternatives:
/// - one sequence of a peer, the store and a peer again, each with a timeout of its own: 3.5 s, and nothing
/// at
///   all once the peers that told of the version count as dead;
/// - each node reads the store at once: a call for each node and change.
///
/// Relies on store_pacing for the backoff, and on store_readers for which node to ask.
#pragma once

#include "base/clock_p.h"

#include <cstdint>
#include <random>

namespace larkrack
{
/// Milliseconds for which a node that knows of a newer configuration leaves it to other nodes to send it.
/// Longer: the configuration arrives later when they cannot. Shorter: calls to the store while an answer is
/// on its way over a full link.
constexpr std::chrono::milliseconds k_store_read_delay{400};

/// What one node knows about configurations that are newer than its own.
class config_catch_up
{
public:
	/// @param[in] _own Version in force here; 0: none.
	/// @param[in] _told Highest version that any node has told of.
	void update(std::uint64_t _own, std::uint64_t _told, steady_time _now);
	/// @returns Whether a newer configuration exists, as far as this node knows.
	bool behind() const
	{
		return m_behind;
	}
	/// @returns Time for which this node has known that it is behind; 0 when it is not.
	steady_time::duration behind_for(steady_time _now) const
	{
		return m_behind ? _now - m_behind_since : steady_time::duration{};
	}
	/// Notes that a node that was asked sent no newer configuration.
	void on_peer_without_config(steady_time _now);
	/// @returns Whether the store is to be read now.
	bool store_read_due(steady_time _now) const
	{
		return m_behind && _now >= m_store_read_at;
	}
	/// Notes that a read of the store begins.
	void on_store_read_begins()
	{
		m_told_before_read = m_told;
	}
	/// Notes the end of a read of the store. It says nothing about versions that were told of while it ran.
	/// @param[in] _answered Whether the store answered.
	/// @param[in] _own Version in force after the read.
	void on_store_read(bool _answered, std::uint64_t _own, steady_time _now, std::minstd_rand& _random);
	/// @returns Whether the store has failed to answer since this node is behind.
	bool store_failed() const
	{
		return m_failures > 0;
	}

private:
	bool m_behind = false;
	bool m_had_config = false; ///< Whether any configuration was in force at the last update.
	steady_time m_behind_since{};
	steady_time m_store_read_at{};
	std::uint64_t m_told = 0;
	std::uint64_t m_told_before_read = 0;
	std::uint64_t m_refuted = 0; ///< Highest version told of although the store had no such version.
	int m_failures = 0;
};
} // namespace larkrack
