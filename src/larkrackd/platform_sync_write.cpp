// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Writes to the platform: operators' changes, records, and the whole configuration when the platform came
/// back with older data.
#include "larkrackd/platform_sync_p.h"

#include "larkrackd/log_p.h"

namespace larkrack
{
namespace
{
/// Maximum attempts of an operator's change while other changes come first; then the change ends as a
/// conflict.
constexpr int k_max_write_attempts = 6;
/// Maximum retries of a write whose response was lost, and the pause between two. More or longer ones find
/// the outcome more often, fewer or shorter ones tell the operator sooner that it is unsure.
constexpr int k_max_unsure_retries = 8;
constexpr std::chrono::milliseconds k_unsure_retry_delay{100};
/// Maximum writes of one transaction; the platform's service accepts 128.
constexpr std::size_t k_max_txn_writes = 120;

/// @returns The writes that make the changes; the head comes last.
std::vector<store_write> writes_of(
    const std::vector<config_change>& _changes, const config_state& _next, const config_head& _head)
{
	std::vector<store_write> writes;
	writes.reserve(_changes.size() + 1);
	for (const config_change& change : _changes)
	{
		const std::string key = change.kind + "/" + change.name;
		const auto it = _next.resources.find(key);
		std::optional<std::string> text;
		if (_next.resources.end() != it)
		{
			text = to_text(it->second);
		}
		writes.push_back({k_prefix_config + key, text, 0});
	}
	writes.push_back({k_key_head, to_text(_head), 0});
	return writes;
}
} // namespace

std::optional<write_result> platform_sync::check_changes(
    const std::vector<config_change>& _changes, config_state& _next, const std::string& _id)
{
	const config_state& now = m_configuration.state();
	_next = now;
	++_next.rev.value;
	write_result answer;
	for (const config_change& change : _changes)
	{
		const std::string key = change.kind + "/" + change.name;
		const auto it = now.resources.find(key);
		const revision current_revision = now.resources.end() == it ? revision{} : it->second.rev;
		if (change.expected && !(*change.expected == current_revision))
		{
			answer.status = write_status::conflict;
			answer.conflicting = key;
			answer.conflicting_rev = current_revision;
			answer.rev = now.rev;
			return answer;
		}
		if (change.spec)
		{
			_next.resources[key] = {change.spec->dump(), _next.rev, _id};
		}
		else
		{
			_next.resources.erase(key);
		}
		if (nullptr == schema_resource(change.kind))
		{
			answer.mistakes.push_back({"/" + key, "\"" + change.kind + "\"", "one of the resource kinds"});
		}
	}
	if (answer.mistakes.empty())
	{
		auto built = build_policy(_next, &now, m_configuration.current());
		if (auto* mistakes = std::get_if<std::vector<mistake>>(&built))
		{
			answer.mistakes = std::move(*mistakes);
		}
	}
	if (!answer.mistakes.empty())
	{
		answer.status = write_status::invalid;
		answer.rev = now.rev;
		return answer;
	}
	return std::nullopt;
}

txn_reply platform_sync::write_until_known(const std::vector<store_compare>& _conditions,
    const std::vector<store_write>& _writes, const yield_context& _yield)
{
	txn_reply reply = m_store->txn("write_config", _conditions, _writes, _yield);
	// Repeats the same compare-and-swap: at most one of the attempts takes effect.
	for (int round = 0; call_status::unsure == reply.status && round < k_max_unsure_retries; ++round)
	{
		log_event(event::config_unsure);
		sleep_for(m_context.get_executor(), k_unsure_retry_delay, _yield);
		const txn_reply again = m_store->txn("write_config", _conditions, _writes, _yield);
		if (call_status::done == again.status)
		{
			reply = again;
		}
	}
	return reply;
}

bool platform_sync::is_written(
    const config_change& _change, const std::string& _id, const yield_context& _yield)
{
	const std::string key = _change.kind + "/" + _change.name;
	const range_reply now = m_store->range("read_back", k_prefix_config + key, false, _yield);
	if (now.values.empty())
	{
		const range_reply head = m_store->range("read_back", k_key_head, false, _yield);
		return !_change.spec && !head.values.empty() && head_from_text(head.values.front().value).by == _id;
	}
	return resource_from_text(now.values.front().value).by == _id;
}

platform_sync::catch_up_status platform_sync::catch_up(
    const yield_context& _yield, std::int64_t& _head_revision)
{
	const range_reply head = m_store->range("read_head", k_key_head, false, _yield);
	set_platform_up(call_status::done == head.status);
	if (call_status::done != head.status)
	{
		return catch_up_status::no_answer;
	}
	_head_revision = head.values.empty() ? 0 : head.values.front().mod_revision;
	const revision platform_revision =
	    head.values.empty() ? revision{} : head_from_text(head.values.front().value).rev;
	if (platform_revision < m_configuration.state().rev)
	{
		m_platform_older = true;
		// Whether the restore succeeded shows when the head is read again.
		restore(_yield);
		return catch_up_status::platform_was_older;
	}
	if (m_configuration.state().rev < platform_revision && !read_config(_yield))
	{
		return catch_up_status::no_answer;
	}
	return catch_up_status::in_sync;
}

write_result platform_sync::write(
    const std::vector<config_change>& _changes, bool _dry_run, const yield_context& _yield)
{
	const std::string id = m_node + "-" + std::to_string(m_random());
	write_result answer;
	for (int round = 0; round < k_max_write_attempts; ++round)
	{
		std::int64_t head_revision = 0;
		const catch_up_status caught_up = catch_up(_yield, head_revision);
		if (catch_up_status::no_answer == caught_up)
		{
			return answer;
		}
		if (catch_up_status::platform_was_older == caught_up)
		{
			continue;
		}
		config_state next;
		if (std::optional<write_result> refusal = check_changes(_changes, next, id))
		{
			return *refusal;
		}
		answer.rev = m_configuration.state().rev;
		if (_dry_run)
		{
			answer.status = write_status::accepted;
			return answer;
		}
		const std::optional<write_status> end = write_once(_changes, next, id, head_revision, _yield);
		if (!end)
		{
			continue;
		}
		answer.status = *end;
		if (write_status::accepted == *end)
		{
			answer.rev = next.rev;
			activate(std::move(next), id);
		}
		return answer;
	}
	answer.status = m_platform_older ? write_status::older : write_status::conflict;
	return answer;
}

std::optional<write_status> platform_sync::write_once(const std::vector<config_change>& _changes,
    const config_state& _next, const std::string& _id, std::int64_t _head_revision,
    const yield_context& _yield)
{
	const std::vector<store_write> writes =
	    writes_of(_changes, _next, {_next.rev, m_configuration.state().rev, _id});
	const txn_reply reply = write_until_known({{k_key_head, _head_revision}}, writes, _yield);
	if (call_status::not_done == reply.status)
	{
		return write_status::not_done;
	}
	if (call_status::done == reply.status && reply.succeeded)
	{
		return write_status::accepted;
	}
	// A retry may have failed because an earlier attempt had written the head already.
	if (!_changes.empty() && is_written(_changes.front(), _id, _yield))
	{
		return write_status::accepted;
	}
	if (call_status::unsure == reply.status)
	{
		return write_status::unsure;
	}
	return std::nullopt;
}

void platform_sync::activate(config_state _next, const std::string& _id)
{
	const std::uint64_t rev = _next.rev.value;
	// The watch may have delivered the configuration already.
	if (apply_status::applied == m_configuration.apply(std::move(_next)))
	{
		notify(true, {});
	}
	log_event(event::config_written, {{"revision", rev}, {"by", _id}});
}

bool platform_sync::restore(const yield_context& _yield)
{
	const range_reply there = m_store->range("restore", k_prefix_head_and_config, true, _yield);
	if (call_status::done != there.status)
	{
		return false;
	}
	std::int64_t head_revision = 0;
	std::vector<store_write> writes;
	for (const store_value& value : there.values)
	{
		const bool is_head = k_key_head == value.key;
		head_revision = is_head ? value.mod_revision : head_revision;
		if (is_head && !(head_from_text(value.value).rev < m_configuration.state().rev))
		{
			m_platform_older = false;
			return true;
		}
		if (!is_head && 0 == m_configuration.state().resources.count(resource_name(value.key)))
		{
			writes.push_back({value.key, std::nullopt, 0});
		}
	}
	for (const auto& [key, value] : m_configuration.state().resources)
	{
		writes.push_back({k_prefix_config + key, to_text(value), 0});
	}
	// Resources first, the head last: a node that reads the new head finds all resources.
	while (k_max_txn_writes < writes.size())
	{
		const std::vector<store_write> part(writes.end() - k_max_txn_writes, writes.end());
		writes.resize(writes.size() - k_max_txn_writes);
		if (!m_store->txn("restore", {{k_key_head, head_revision}}, part, _yield).succeeded)
		{
			return false;
		}
	}
	writes.push_back({k_key_head, to_text(config_head{m_configuration.state().rev, {}, m_node}), 0});
	const txn_reply reply = m_store->txn("restore", {{k_key_head, head_revision}}, writes, _yield);
	if (call_status::done == reply.status && reply.succeeded)
	{
		log_event(event::platform_restored, {{"revision", m_configuration.state().rev.value}});
		m_platform_older = false;
	}
	return !m_platform_older;
}

call_status platform_sync::update_record(const char* _use, const std::string& _key,
    const std::function<std::optional<std::string>(const std::string&)>& _next, const yield_context& _yield)
{
	const std::string key = k_prefix_record + _key;
	const range_reply now = m_store->range(_use, key, false, _yield);
	set_platform_up(call_status::done == now.status);
	if (call_status::done != now.status)
	{
		return now.status;
	}
	take_store_records(now.values);
	const std::string old = now.values.empty() ? std::string() : now.values.front().value;
	const std::int64_t at = now.values.empty() ? 0 : now.values.front().mod_revision;
	// After the platform came back with older data, the copy here may be newer than the platform's.
	const std::string known = m_records.value_of(_key);
	const bool here_is_newer = record_sequence(old) < record_sequence(known);
	const std::optional<std::string> text = _next(here_is_newer ? known : old);
	if (!text)
	{
		return call_status::not_done;
	}
	const txn_reply reply = m_store->txn(_use, {{key, at}}, {{key, *text, 0}}, _yield);
	bool in_force = call_status::done == reply.status && reply.succeeded;
	if (call_status::unsure == reply.status)
	{
		const range_reply back = m_store->range("read_back", key, false, _yield);
		if (call_status::done != back.status)
		{
			return call_status::unsure;
		}
		in_force = !back.values.empty() && back.values.front().value == *text;
	}
	if (in_force)
	{
		take({{_key, *text, record_sequence(*text)}});
	}
	return in_force ? call_status::done : call_status::not_done;
}
} // namespace larkrack
