// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// This node's copies of the store's small records: owners of backend servers, and steps of shifts.
///
/// Decides: whether a record from the store or a peer replaces the copy; only a higher sequence does.
/// Owns: the copies, and a digest of their keys and sequences that nodes compare through heartbeats
/// (anti-entropy). In memory only: after a restart the copies come from the store or a peer. During an outage
/// of the store the copies stay in force.
/// Relies on: writers that raise the sequence by compare-and-swap (platform_sync::update_record).
#pragma once

#include "larkrackd/message_p.h"

#include <map>
#include <string>
#include <vector>

namespace larkrack
{
/// Not thread-safe: control thread only.
class record_replica
{
public:
	/// Takes a record if it is newer than the copy.
	/// @returns Whether the record was taken.
	bool take(const record& _record);
	/// @returns Value of a record; empty if there is no copy.
	std::string value_of(const std::string& _key) const;
	/// @returns Digest of all keys and sequences.
	std::uint64_t digest() const
	{
		return m_digest;
	}
	/// @returns Sequences by key.
	std::map<std::string, std::uint64_t> sequences() const;
	/// @returns Records with a higher sequence than in _have, or without one there.
	std::vector<record> newer_than(const std::map<std::string, std::uint64_t>& _have) const;

private:
	std::map<std::string, record> m_records;
	std::uint64_t m_digest = 0;
};
} // namespace larkrack
