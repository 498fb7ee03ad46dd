// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/store_engine_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
bool starts_with(const std::string& _text, const std::string& _prefix)
{
	return 0 == _text.compare(0, _prefix.size(), _prefix);
}
} // namespace

std::vector<store_value> store_engine::range(const std::string& _key, bool _prefix) const
{
	std::vector<store_value> found;
	for (auto it = m_values.lower_bound(_key); m_values.end() != it; ++it)
	{
		const bool wanted = _prefix ? starts_with(it->first, _key) : it->first == _key;
		if (!wanted)
		{
			break;
		}
		found.push_back(it->second);
	}
	return found;
}

txn_reply store_engine::txn(
    const std::vector<store_compare>& _conditions, const std::vector<store_write>& _writes)
{
	txn_reply reply;
	reply.status = call_status::done;
	reply.succeeded = true;
	for (const store_compare& condition : _conditions)
	{
		const auto it = m_values.find(condition.key);
		const std::int64_t current = m_values.end() == it ? 0 : it->second.mod_revision;
		reply.succeeded = reply.succeeded && current == condition.mod_revision;
	}
	for (const store_write& write : _writes)
	{
		reply.succeeded = reply.succeeded && (0 == write.lease || 0 < m_leases.count(write.lease));
	}
	if (reply.succeeded)
	{
		apply(_writes);
	}
	else
	{
		for (const store_compare& condition : _conditions)
		{
			const std::vector<store_value> now = range(condition.key, false);
			reply.current.insert(reply.current.end(), now.begin(), now.end());
		}
	}
	reply.store_revision = m_revision;
	return reply;
}

void store_engine::apply(const std::vector<store_write>& _writes)
{
	if (_writes.empty())
	{
		return;
	}
	++m_revision;
	for (const store_write& write : _writes)
	{
		if (write.value)
		{
			m_values[write.key] = {write.key, *write.value, m_revision, write.lease};
		}
		else
		{
			m_values.erase(write.key);
		}
	}
	m_log.emplace_back(m_revision, _writes);
}

std::int64_t store_engine::lease_grant(std::chrono::seconds _ttl, steady_time _now)
{
	m_leases[++m_next_lease] = {_ttl, _now + _ttl};
	return m_next_lease;
}

std::chrono::seconds store_engine::lease_keep_alive(std::int64_t _id, steady_time _now)
{
	const auto it = m_leases.find(_id);
	if (m_leases.end() == it)
	{
		return std::chrono::seconds(0);
	}
	it->second.expires_at = _now + it->second.ttl;
	return it->second.ttl;
}

void store_engine::lease_revoke(std::int64_t _id)
{
	if (0 == m_leases.erase(_id))
	{
		return;
	}
	std::vector<store_write> deletes;
	for (const auto& [key, value] : m_values)
	{
		if (value.lease == _id)
		{
			deletes.push_back({key, std::nullopt, 0});
		}
	}
	apply(deletes);
}

void store_engine::tick(steady_time _now)
{
	std::vector<std::int64_t> expired;
	for (const auto& [id, lease] : m_leases)
	{
		if (lease.expires_at <= _now)
		{
			expired.push_back(id);
		}
	}
	for (const std::int64_t id : expired)
	{
		lease_revoke(id);
	}
}

std::vector<watch_batch> store_engine::changes(const std::string& _prefix, std::int64_t _from) const
{
	const auto older = [](const auto& _entry, std::int64_t _revision)
	{
		return _entry.first < _revision;
	};
	std::vector<watch_batch> batches;
	for (auto it = std::lower_bound(m_log.begin(), m_log.end(), _from, older); m_log.end() != it; ++it)
	{
		watch_batch batch;
		batch.store_revision = it->first;
		for (const store_write& write : it->second)
		{
			if (!starts_with(write.key, _prefix))
			{
				continue;
			}
			if (write.value)
			{
				batch.puts.push_back({write.key, *write.value, it->first, write.lease});
			}
			else
			{
				batch.deletes.push_back({write.key, it->first});
			}
		}
		if (!batch.puts.empty() || !batch.deletes.empty())
		{
			batches.push_back(std::move(batch));
		}
	}
	return batches;
}
} // namespace larkrack
