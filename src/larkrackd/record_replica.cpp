// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/record_replica_p.h"

#include "larkrackd/hash_p.h"

namespace larkrack
{
namespace
{
std::uint64_t hash_of(const record& _record)
{
	return hash64(_record.key, _record.sequence);
}
} // namespace

bool record_replica::take(const record& _record)
{
	record& known = m_records[_record.key];
	const bool is_new = known.key.empty();
	if (!is_new && _record.sequence <= known.sequence)
	{
		return false;
	}
	// The digest is a sum of hashes, so it does not depend on the order of arrival.
	m_digest -= is_new ? 0 : hash_of(known);
	known = _record;
	m_digest += hash_of(known);
	return true;
}

std::string record_replica::value_of(const std::string& _key) const
{
	const auto it = m_records.find(_key);
	return m_records.end() == it ? std::string() : it->second.value;
}

std::map<std::string, std::uint64_t> record_replica::sequences() const
{
	std::map<std::string, std::uint64_t> all;
	for (const auto& [key, one] : m_records)
	{
		all[key] = one.sequence;
	}
	return all;
}

std::vector<record> record_replica::newer_than(const std::map<std::string, std::uint64_t>& _have) const
{
	std::vector<record> newer;
	for (const auto& [key, one] : m_records)
	{
		const auto it = _have.find(key);
		if (_have.end() == it || it->second < one.sequence)
		{
			newer.push_back(one);
		}
	}
	return newer;
}
} // namespace larkrack
