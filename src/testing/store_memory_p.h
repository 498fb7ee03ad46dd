// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Store client that calls a store engine in the same process, for tests.
/// Owns: its faults.
/// Relies on: a store engine, which several clients may share. Not thread-safe.
#pragma once

#include "testing/store_engine_p.h"

namespace larkrack
{
/// Store client without a network.
class store_memory : public store_base
{
public:
	store_memory(store_engine& _engine, const clock_base& _clock) : m_engine(_engine), m_clock(_clock)
	{
	}
	range_reply range(
	    const char* _use, const std::string& _key, bool _prefix, const yield_context& _yield) override;
	txn_reply txn(const char* _use, const std::vector<store_compare>& _conditions,
	    const std::vector<store_write>& _writes, const yield_context& _yield) override;
	lease_reply lease_grant(
	    const char* _use, std::chrono::seconds _ttl, const yield_context& _yield) override;
	lease_reply lease_keep_alive(const char* _use, std::int64_t _id, const yield_context& _yield) override;
	lease_reply lease_revoke(const char* _use, std::int64_t _id, const yield_context& _yield) override;
	watch_end watch(const char* _use, const std::string& _prefix, std::int64_t _from,
	    const std::function<bool(const watch_batch&)>& _on_batch, const yield_context& _yield) override;

	bool down = false;    ///< Calls return not_done.
	int lose_answers = 0; ///< Number of next transactions that take effect but return unsure.

private:
	store_engine& m_engine;
	const clock_base& m_clock;
};
} // namespace larkrack
