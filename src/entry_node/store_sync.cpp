// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/store_sync_p.h"

#include "steering/store_pacing_p.h"
#include "steering/store_start_p.h"

#include "larkrack/config.h"

#include <algorithm>

namespace larkrack
{
store_sync::store_sync(asio::io_context& _context, const clock_base& _clock, store_base& _store,
    state_replica& _replica, const record_codec_base& _codec, fleet_coordination_base& _coordination,
    entry_log& _log, const change_bounds& _bounds, std::string _node, std::string _node_value)
    : m_context(_context), m_clock(_clock), m_store(_store), m_replica(_replica), m_codec(_codec),
      m_coordination(_coordination), m_log(_log), m_node(std::move(_node)),
      m_node_value(std::move(_node_value)), m_pacing(word_interval(_bounds)),
      m_random(static_cast<unsigned>(std::hash<std::string>()(m_node)))
{
	m_store.set_watch_pacer(this);
	m_store.set_failure_handler(
	    [this](const failed_call& _call)
	    {
		    m_log.write(log_line(event::store_call_failed)
		                    .text("use", _call.use)
		                    .text("why", _call.why)
		                    .number("kept_connection", _call.kept_connection ? 1 : 0)
		                    .number("ms", _call.taken.count()));
	    });
}

void store_sync::begin()
{
	m_started_at = m_clock.steady();
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    sync_keys(_yield);
	    });
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    keep_registered(_yield);
	    });
}

void store_sync::record_result(bool _answered)
{
	if (_answered)
	{
		if (!m_health.reached)
		{
			m_log.write(log_line(event::platform_up).number("failures", m_health.failures));
		}
		m_health.reached = true;
		m_health.last_answer = m_clock.steady();
		m_health.failures = 0;
		m_replica.on_store_reachable();
		return;
	}
	m_replica.on_store_unreachable();
	m_health.last_failure = m_clock.steady();
	++m_health.failures;
	if (m_health.reached)
	{
		m_health.reached = false;
		m_log.write(log_line(event::platform_down));
	}
}

void store_sync::adopt_peers_health()
{
	const std::optional<steady_time> answered = m_coordination.peers_store_response_at();
	if (!m_health.reached && answered && *answered > m_health.last_failure)
	{
		m_replica.on_store_reachable();
	}
}

void store_sync::back_off(int _tries, const yield_context& _yield)
{
	pause(draw_backoff(_tries, m_random), _yield);
}

void store_sync::pause(std::chrono::milliseconds _time, const yield_context& _yield)
{
	sleep_for(m_context.get_executor(), _time, _yield);
}

void store_sync::wait_for_keys(const yield_context& _yield)
{
	int tries = 0;
	while (!m_stopping && 0 == m_replica.revision())
	{
		if (copy_step::from_store != m_coordination.next_copy_step())
		{
			pause(k_copy_check_interval, _yield);
			continue;
		}
		if (!read_all(true, _yield))
		{
			back_off(tries++, _yield);
			continue;
		}
		m_coordination.on_initial_read();
	}
}

bool store_sync::read_all(bool _allow_stale, const yield_context& _yield)
{
	const range_reply reply = _allow_stale ? m_store.range_stale("read_old", m_codec.prefix(), true, _yield)
	                                       : m_store.range("read", m_codec.prefix(), true, _yield);
	record_result(call_status::done == reply.status);
	if (call_status::done != reply.status)
	{
		return false;
	}
	m_replica.set_source(_allow_stale ? "read_old" : "read");
	m_replica.replace(reply.values, reply.store_revision);
	m_replica.on_routes_confirmed(reply.store_revision);
	m_log.write(log_line(event::store_resynced)
	                .number("keys", static_cast<std::int64_t>(reply.values.size()))
	                .number("revision", reply.store_revision));
	return true;
}

bool store_sync::read_routes(const yield_context& _yield)
{
	const std::int64_t known_before = m_replica.revision();
	const range_reply reply = m_store.range("read_routes", m_codec.routes_key(), false, _yield);
	if (call_status::done != reply.status)
	{
		return false;
	}
	if (!reply.values.empty())
	{
		m_replica.set_source("read_routes");
		m_replica.apply(reply.values.front());
	}
	m_replica.on_routes_confirmed(std::max(known_before, reply.store_revision));
	return true;
}

void store_sync::write_rollout_status(
    const rollout_status& _status, std::int64_t _expected_revision, const yield_context& _yield)
{
	const store_write write = m_codec.rollout_status_write(_status);
	const txn_reply reply = m_store.txn("rollout_status", {{write.key, _expected_revision}}, {write}, _yield);
	if (call_status::done != reply.status)
	{
		return; // The write may have succeeded: the watch tells, or it is retried under the same condition.
	}
	if (reply.succeeded)
	{
		m_replica.apply(store_value{write.key, *write.value, reply.store_revision, 0});
		return;
	}
	for (const store_value& current : reply.current)
	{
		m_replica.apply(current); // Another node has written first: its decision takes precedence.
	}
}

void store_sync::write_block(const request_block& _block, const yield_context& _yield)
{
	// The watch tells whether the write succeeded; crash_guard retries writes that the watch does not return.
	m_store.txn("block", {}, {m_codec.block_write(_block)}, _yield);
}

watch_times store_sync::next_watch()
{
	m_pacing.on_begin(m_clock.steady());
	return m_pacing.next(m_coordination.reader());
}

void store_sync::on_watch_response(
    const watch_times& _times, bool _has_changes, std::chrono::milliseconds _taken)
{
	m_pacing.on_end();
	m_pacing.on_response(_times, _has_changes, _taken);
}

void store_sync::check_watch(const std::optional<told_changes>& _known)
{
	if (m_pacing.overdue(_known, m_clock.steady()))
	{
		m_store.abandon_watch();
	}
}

watch_end store_sync::watch(const yield_context& _yield)
{
	if (!m_replica.routes_confirmed() && !read_routes(_yield))
	{
		return watch_end::broken;
	}
	// Another node may have told of later changes during the read.
	const std::int64_t known = std::min(m_replica.revision(), m_replica.routes_confirmed_to());
	return m_store.watch(
	    "watch", m_codec.prefix(), known + 1,
	    [this, &_yield](const watch_batch& _batch)
	    {
		    record_result(true);
		    store_changes changes;
		    changes.after = m_replica.revision();
		    changes.batch = _batch;
		    m_replica.set_source("watch");
		    m_replica.apply(_batch);
		    m_replica.on_routes_confirmed(_batch.store_revision);
		    if (!_batch.puts.empty() || !_batch.deletes.empty())
		    {
			    m_coordination.on_store_changes(changes);
			    pause(k_batch_delay, _yield);
		    }
		    return !m_stopping && m_coordination.reader().reads;
	    },
	    _yield);
}

void store_sync::sync_keys(const yield_context& _yield)
{
	wait_for_keys(_yield);
	// Rounded up, so that k_reader_rank_delay has passed when the pause ends.
	pause(std::chrono::ceil<std::chrono::milliseconds>(m_started_at + k_reader_rank_delay - m_clock.steady()),
	    _yield);
	bool synced = true;
	int tries = 0;
	while (!m_stopping)
	{
		if (!m_coordination.reader().reads)
		{
			synced = true;
			m_pacing.on_break();
			adopt_peers_health();
			pause(k_reader_check_interval, _yield);
			continue;
		}
		if (!synced)
		{
			synced = read_all(false, _yield);
			if (!synced)
			{
				back_off(tries++, _yield);
				continue;
			}
		}
		const std::int64_t before = m_replica.revision();
		const watch_end end = watch(_yield);
		m_pacing.on_end();
		tries = m_replica.revision() > before ? 0 : tries;
		if (watch_end::stopped != end)
		{
			m_pacing.on_break();
		}
		if (watch_end::history_lost == end)
		{
			synced = false;
		}
		if (watch_end::broken == end)
		{
			record_result(false);
			back_off(tries++, _yield);
		}
	}
}

std::int64_t store_sync::register_node(const yield_context& _yield)
{
	const lease_reply lease = m_store.lease_grant("register_lease", k_registration_ttl, _yield);
	if (call_status::done != lease.status)
	{
		return 0;
	}
	store_write write;
	write.key = m_codec.node_key(m_node);
	write.value = m_node_value;
	write.lease = lease.id;
	const txn_reply reply = m_store.txn("register", {}, {write}, _yield);
	// The write is idempotent, so that a write with an unknown result is simply retried.
	return call_status::done == reply.status && reply.succeeded ? lease.id : 0;
}

void store_sync::keep_registered(const yield_context& _yield)
{
	std::int64_t lease = 0;
	int tries = 0;
	pause(k_registration_delay, _yield);
	while (!m_stopping)
	{
		if (!m_coordination.should_register())
		{
			lease = 0; // Left to expire.
			pause(k_registration_check_interval, _yield);
			continue;
		}
		if (0 == lease)
		{
			lease = register_node(_yield);
			if (0 == lease)
			{
				back_off(k_registration_initial_failures + tries++, _yield);
				continue;
			}
			tries = 0;
		}
		pause(k_registration_renewal, _yield);
		const lease_reply kept = m_store.lease_keep_alive("register_renew", lease, _yield);
		if (call_status::done == kept.status && !m_health.reached)
		{
			record_result(true);
		}
		if (registration_expired(call_status::done == kept.status, kept.ttl))
		{
			lease = 0;
		}
	}
}
} // namespace larkrack
