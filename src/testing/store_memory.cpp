// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/store_memory_p.h"

namespace larkrack
{
namespace
{
constexpr std::chrono::milliseconds k_watch_poll_interval{1};
}

range_reply store_memory::range(const char* _use, const std::string& _key, bool _prefix, const yield_context&)
{
	count(_use);
	if (down)
	{
		return {};
	}
	return {call_status::done, m_engine.range(_key, _prefix), m_engine.revision()};
}

txn_reply store_memory::txn(const char* _use, const std::vector<store_compare>& _conditions,
    const std::vector<store_write>& _writes, const yield_context&)
{
	count(_use);
	if (down)
	{
		return {};
	}
	txn_reply reply = m_engine.txn(_conditions, _writes);
	if (0 < lose_answers)
	{
		--lose_answers;
		reply = {};
		reply.status = call_status::unsure;
	}
	return reply;
}

lease_reply store_memory::lease_grant(const char* _use, std::chrono::seconds _ttl, const yield_context&)
{
	count(_use);
	if (down)
	{
		return {};
	}
	return {call_status::done, m_engine.lease_grant(_ttl, m_clock.steady()), _ttl};
}

lease_reply store_memory::lease_keep_alive(const char* _use, std::int64_t _id, const yield_context&)
{
	count(_use);
	if (down)
	{
		return {};
	}
	return {call_status::done, _id, m_engine.lease_keep_alive(_id, m_clock.steady())};
}

lease_reply store_memory::lease_revoke(const char* _use, std::int64_t _id, const yield_context&)
{
	count(_use);
	if (down)
	{
		return {};
	}
	m_engine.lease_revoke(_id);
	return {call_status::done, _id, std::chrono::seconds(0)};
}

watch_end store_memory::watch(const char* _use, const std::string& _prefix, std::int64_t _from,
    const std::function<bool(const watch_batch&)>& _on_batch, const yield_context& _yield)
{
	count(_use);
	std::int64_t next = 0 == _from ? m_engine.revision() + 1 : _from;
	while (!down)
	{
		for (const watch_batch& batch : m_engine.changes(_prefix, next))
		{
			next = batch.store_revision + 1;
			if (!_on_batch(batch))
			{
				return watch_end::stopped;
			}
		}
		sleep_for(asio::get_associated_executor(_yield), k_watch_poll_interval, _yield);
	}
	return watch_end::broken;
}
} // namespace larkrack
