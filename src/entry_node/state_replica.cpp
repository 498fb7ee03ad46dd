// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/state_replica_p.h"

#include "steering/entry_life_p.h"

#include <algorithm>
#include <set>

namespace larkrack
{
namespace
{
/// Minimum number of recent deletes kept for other nodes. If there are more keys than this, as many deletes
/// as keys are kept, so that a node that missed the replacement of all keys can still be sent changes.
/// Higher: more memory. Lower: a node that was away for long needs a full copy instead of changes.
constexpr std::size_t k_min_recorded_deletes = 256;
/// Minimum interval in seconds between two log lines about undecodable registry entries. Shorter: one faulty
/// writer fills the log. Not a tuning value.
constexpr std::chrono::seconds k_rejection_log_interval{60};
} // namespace

state_replica::state_replica(const clock_base& _clock, const record_codec_base& _codec,
    backend_registry& _backends, entry_log& _log, routes_handler _on_routes, node_handler _on_node)
    : m_clock(_clock), m_codec(_codec), m_backends(_backends), m_log(_log),
      m_on_routes(std::move(_on_routes)), m_on_node(std::move(_on_node))
{
}

void state_replica::replace(const std::vector<store_value>& _values, std::int64_t _revision)
{
	std::set<std::string> present;
	for (const store_value& value : _values)
	{
		present.insert(value.key);
		put(value);
	}
	m_copy.reset();
	finish_copy(present, _revision);
}

void state_replica::finish_copy(const std::set<std::string>& _present, std::int64_t _revision)
{
	std::vector<std::string> absent;
	for (const auto& [key, value] : m_values)
	{
		// The configuration is never removed; the sending node may have omitted it because this node has it.
		const bool removable = key != m_codec.routes_key() && value.mod_revision <= _revision;
		if (0 == _present.count(key) && removable)
		{
			absent.push_back(key);
		}
	}
	for (const std::string& key : absent)
	{
		remove({key, _revision});
	}
	if (0 == m_revision)
	{
		m_deletes_complete_after = _revision;
	}
	m_revision = std::max(m_revision, _revision);
}

state_page state_replica::page_after(const std::string& _after, std::size_t _max_bytes) const
{
	state_page page;
	page.store_revision = m_revision;
	std::size_t bytes = 0;
	auto it = m_values.upper_bound(_after);
	for (; m_values.end() != it && bytes < _max_bytes; ++it)
	{
		bytes += it->first.size() + it->second.value.size();
		page.values.push_back(it->second);
	}
	page.more = m_values.end() != it && !page.values.empty();
	return page;
}

void state_replica::begin_copy()
{
	if (!m_copy)
	{
		m_copy.emplace();
	}
}

std::optional<std::string> state_replica::copy_position() const
{
	return m_copy ? std::optional(m_copy->last_key) : std::nullopt;
}

void state_replica::apply_page(const state_page& _page)
{
	if (!m_copy)
	{
		return;
	}
	for (const store_value& value : _page.values)
	{
		m_copy->present.insert(value.key);
		put(value);
	}
	m_copy->revision =
	    0 == m_copy->revision ? _page.store_revision : std::min(m_copy->revision, _page.store_revision);
	if (_page.more)
	{
		m_copy->last_key = _page.values.back().key;
		return;
	}
	const copy_in_progress done = std::move(*m_copy);
	m_copy.reset();
	finish_copy(done.present, done.revision);
}

void state_replica::put_and_remove(const watch_batch& _batch)
{
	for (const store_value& value : _batch.puts)
	{
		put(value);
	}
	for (const store_delete& deletion : _batch.deletes)
	{
		remove({deletion.key, 0 == deletion.mod_revision ? _batch.store_revision : deletion.mod_revision});
	}
}

void state_replica::apply(const watch_batch& _batch)
{
	put_and_remove(_batch);
	m_revision = std::max(m_revision, _batch.store_revision);
}

bool state_replica::apply(const store_changes& _changes)
{
	if (_changes.batch.store_revision <= m_revision)
	{
		apply_routes_only(_changes.batch);
		return true;
	}
	if (_changes.whole)
	{
		replace(_changes.batch.puts, _changes.batch.store_revision);
		return true;
	}
	if (_changes.after > m_revision)
	{
		put_and_remove(_changes.batch);
		return false;
	}
	apply(_changes.batch);
	return true;
}

void state_replica::apply_routes_only(const watch_batch& _batch)
{
	for (const store_value& value : _batch.puts)
	{
		if (value.key == m_codec.routes_key())
		{
			put(value);
		}
	}
}

std::int64_t state_replica::routes_revision() const
{
	const auto it = m_values.find(m_codec.routes_key());
	return m_values.end() == it ? 0 : it->second.mod_revision;
}

std::size_t state_replica::routes_bytes() const
{
	const auto it = m_values.find(m_codec.routes_key());
	return m_values.end() == it ? 0 : it->second.value.size();
}

store_changes state_replica::changes_after(std::int64_t _revision, std::int64_t _routes_revision) const
{
	store_changes changes;
	changes.after = _revision;
	changes.whole = needs_full_copy(_revision);
	changes.batch.store_revision = m_revision;
	for (const auto& [key, value] : m_values)
	{
		const bool is_routes = key == m_codec.routes_key();
		const std::int64_t known = is_routes ? _routes_revision : _revision;
		if (value.mod_revision > known || (changes.whole && !is_routes))
		{
			changes.batch.puts.push_back(value);
		}
	}
	for (const store_delete& deletion : m_deletes)
	{
		if (!changes.whole && deletion.mod_revision > _revision)
		{
			changes.batch.deletes.push_back(deletion);
		}
	}
	return changes;
}

void state_replica::put(const store_value& _value)
{
	const auto deleted = m_deleted_at.find(_value.key);
	if (m_deleted_at.end() != deleted && deleted->second >= _value.mod_revision)
	{
		return;
	}
	const auto it = m_values.find(_value.key);
	if (m_values.end() != it && it->second.mod_revision >= _value.mod_revision)
	{
		return;
	}
	m_values[_value.key] = _value;
	switch (m_codec.kind_of(_value.key))
	{
	case record_kind::routes:
		put_routes(_value);
		break;
	case record_kind::backend:
		put_backend(_value);
		break;
	case record_kind::evacuation:
		update_evacuations();
		break;
	case record_kind::node:
		m_on_node(_value.value);
		break;
	case record_kind::rollout_order:
		put_rollout_order(_value);
		break;
	case record_kind::block:
		put_block(_value);
		break;
	case record_kind::rollout_status:
		put_rollout_status(_value);
		break;
	case record_kind::other:
		break;
	}
}

void state_replica::put_routes(const store_value& _value)
{
	result<std::shared_ptr<const routing_table>> routes = m_codec.decode_routes(_value.value);
	if (const error* refused = std::get_if<error>(&routes))
	{
		m_log.write(log_line(event::config_refused)
		                .text("why", refused->message)
		                .number("revision", _value.mod_revision));
		return;
	}
	const auto& table = *value_of(routes);
	m_log.write(log_line(event::config_taken)
	                .number("config", static_cast<std::int64_t>(table->version()))
	                .number("revision", _value.mod_revision)
	                .number("routes", static_cast<std::int64_t>(table->routes().size()))
	                .text("from", m_source));
	m_on_routes(table);
}

void state_replica::put_backend(const store_value& _value)
{
	result<backend_record> decoded = m_codec.decode_backend(_value.key, _value.value);
	const backend_record* record = value_of(decoded);
	if (nullptr == record)
	{
		reject_entry(_value, std::get<error>(decoded));
		return;
	}
	m_deferred_entries.erase(record->id);
	m_vanished.erase(record->id);
	const backend_ptr known = m_backends.find(record->id);
	if (known &&
	    entry_incarnation::former == classify_entry(known->registered.started_ms, record->started_ms))
	{
		m_deferred_entries[record->id] = {
		    *record, _value.mod_revision, m_clock.steady() + k_former_entry_timeout};
		return;
	}
	apply_backend(*record, _value.mod_revision);
}

void state_replica::apply_backend(const backend_record& _record, std::int64_t _revision)
{
	const backend_ptr known = m_backends.find(_record.id);
	const bool changed = !known || known->registered.draining != _record.draining ||
	                     known->registered.started_ms != _record.started_ms;
	if (changed || _record.warmup_left.count() > 0)
	{
		m_log.write(log_line(event::backend_changed)
		                .text("backend", _record.id.text)
		                .text("service", _record.service.text)
		                .text("domain", _record.domain.text)
		                .text("state", _record.draining ? "draining" : "ready")
		                .number("warmup_ms", _record.warmup_left.count())
		                .number("revision", _revision));
	}
	m_backends.put(_record, m_clock.steady());
}

void state_replica::reject_entry(const store_value& _value, const error& _why)
{
	const backend_id id(m_codec.name_of(_value.key));
	const steady_time now = m_clock.steady();
	if (m_backends.find(id))
	{
		m_backends.stop_new_requests(id);
		m_vanished.emplace(id, now);
	}
	m_deferred_entries.erase(id);
	++m_rejected_entries;
	if (steady_time{} != m_rejection_logged_at && now - m_rejection_logged_at < k_rejection_log_interval)
	{
		return;
	}
	m_log.write(log_line(event::backend_refused)
	                .text("key", _value.key)
	                .text("why", _why.message)
	                .number("revision", _value.mod_revision)
	                .number("entries", static_cast<std::int64_t>(m_rejected_entries)));
	m_rejection_logged_at = now;
	m_rejected_entries = 0;
}

void state_replica::record_delete(const store_delete& _deletion)
{
	m_deletes.push_back(_deletion);
	std::int64_t& revision = m_deleted_at[_deletion.key];
	revision = std::max(revision, _deletion.mod_revision);
	if (m_deletes.size() <= std::max(k_min_recorded_deletes, m_values.size()))
	{
		return;
	}
	const store_delete& oldest = m_deletes.front();
	m_deletes_complete_after = std::max(m_deletes_complete_after, oldest.mod_revision);
	const auto it = m_deleted_at.find(oldest.key);
	if (m_deleted_at.end() != it && it->second == oldest.mod_revision)
	{
		m_deleted_at.erase(it);
	}
	m_deletes.pop_front();
}

void state_replica::remove(const store_delete& _deletion)
{
	const auto known = m_deleted_at.find(_deletion.key);
	if (m_deleted_at.end() != known && known->second >= _deletion.mod_revision)
	{
		return;
	}
	const auto it = m_values.find(_deletion.key);
	if (m_values.end() != it && it->second.mod_revision > _deletion.mod_revision)
	{
		return;
	}
	// The delete of an unknown key is recorded too: the last value of the key may arrive after its delete.
	record_delete(_deletion);
	if (m_values.end() == it)
	{
		return;
	}
	m_values.erase(it);
	switch (m_codec.kind_of(_deletion.key))
	{
	case record_kind::backend:
		m_deferred_entries.erase(backend_id(m_codec.name_of(_deletion.key)));
		m_vanished[backend_id(m_codec.name_of(_deletion.key))] = m_clock.steady();
		break;
	case record_kind::evacuation:
		update_evacuations();
		break;
	case record_kind::block:
		remove_block(_deletion.key);
		break;
	case record_kind::rollout_order:
	case record_kind::rollout_status:
		remove_rollout(_deletion.key);
		break;
	case record_kind::routes:
	case record_kind::node:
	case record_kind::other:
		break;
	}
}

void state_replica::put_block(const store_value& _value)
{
	const result<request_block> decoded = m_codec.decode_block(_value);
	if (const auto* refused = std::get_if<error>(&decoded))
	{
		m_log.write(log_line(event::request_blocked)
		                .text("state", "refused")
		                .text("key", _value.key)
		                .text("why", refused->message));
		return;
	}
	if (nullptr != m_blocks)
	{
		m_blocks->on_block(std::get<request_block>(decoded));
	}
}

void state_replica::remove_block(const std::string& _key)
{
	const result<request_fingerprint> request = m_codec.blocked_request_of(_key);
	if (nullptr != m_blocks && std::holds_alternative<request_fingerprint>(request))
	{
		m_blocks->on_block_removed(std::get<request_fingerprint>(request));
	}
}

void state_replica::put_rollout_order(const store_value& _value)
{
	const result<rollout_order> decoded = m_codec.decode_rollout(_value);
	if (nullptr == m_rollouts)
	{
		return;
	}
	if (const error* refused = std::get_if<error>(&decoded))
	{
		m_rollouts->on_refused(_value.key, *refused);
		return;
	}
	m_rollouts->on_order(std::get<rollout_order>(decoded));
}

void state_replica::put_rollout_status(const store_value& _value)
{
	const result<rollout_status> decoded = m_codec.decode_rollout_status(_value);
	if (nullptr == m_rollouts)
	{
		return;
	}
	if (const error* refused = std::get_if<error>(&decoded))
	{
		m_rollouts->on_refused(_value.key, *refused);
		return;
	}
	m_rollouts->on_status(std::get<rollout_status>(decoded));
}

void state_replica::remove_rollout(const std::string& _key)
{
	if (nullptr == m_rollouts)
	{
		return;
	}
	const service_name service(m_codec.name_of(_key));
	if (record_kind::rollout_order == m_codec.kind_of(_key))
	{
		m_rollouts->on_order_removed(service);
		return;
	}
	m_rollouts->on_status_removed(service);
}

void state_replica::tick()
{
	const steady_time now = m_clock.steady();
	for (auto it = m_vanished.begin(); it != m_vanished.end();)
	{
		if (now < m_removal.plan(it->second).due)
		{
			++it;
			continue;
		}
		m_log.write(log_line(event::backend_removed).text("backend", it->first.text));
		m_backends.remove(it->first, now);
		it = m_vanished.erase(it);
	}
	for (auto it = m_deferred_entries.begin(); it != m_deferred_entries.end();)
	{
		if (now < it->second.due)
		{
			++it;
			continue;
		}
		apply_backend(it->second.record, it->second.revision);
		it = m_deferred_entries.erase(it);
	}
}

void state_replica::update_evacuations()
{
	std::vector<domain_name> domains;
	std::string names;
	for (const auto& [key, value] : m_values)
	{
		if (record_kind::evacuation == m_codec.kind_of(key))
		{
			domains.emplace_back(m_codec.name_of(key));
			names += (names.empty() ? "" : ",") + domains.back().text;
		}
	}
	m_log.write(log_line(event::domain_evacuated).text("domains", names));
	m_backends.set_evacuated(domains, m_clock.steady());
}
} // namespace larkrack
