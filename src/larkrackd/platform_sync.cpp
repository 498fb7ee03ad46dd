// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/platform_sync_p.h"

#include "larkrackd/log_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Pause of a node that is not a reader before it checks its role again.
constexpr std::chrono::milliseconds k_reader_check_interval{200};
/// Pause between two reads of the list of VMs. A shorter one learns sooner that a VM is gone, a longer one
/// makes fewer calls to the platform.
constexpr std::chrono::milliseconds k_vm_poll_interval{1000};

std::chrono::microseconds backoff(int _tries, std::mt19937_64& _random)
{
	const auto maximum = std::min<std::chrono::milliseconds>(
	    k_max_store_backoff, k_initial_store_backoff * (1 << std::min(_tries, 6)));
	// Full jitter spreads the calls of the nodes after an outage.
	return std::chrono::microseconds(
	    std::uniform_int_distribution<std::int64_t>(1, std::chrono::microseconds(maximum).count())(_random));
}
} // namespace

platform_sync::platform_sync(asio::io_context& _context, std::string _node, endpoint _platform)
    : m_context(_context), m_node(std::move(_node)), m_vms(_context, std::move(_platform)), m_lease(m_node),
      m_random(std::random_device{}())
{
}

std::optional<error> platform_sync::init(kernel& _kernel)
{
	m_store = _kernel.find<store_base>("store");
	if (nullptr == m_store)
	{
		return error{"no_store", "no store service"};
	}
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    run_reader(_yield);
	    });
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    run_vm_polls(_yield);
	    });
	return std::nullopt;
}

void platform_sync::shutdown()
{
	m_stopping = true;
}

void platform_sync::set_partitioned(bool _cut)
{
	m_cut = _cut;
	if (auto* over_http = dynamic_cast<store_http*>(m_store))
	{
		over_http->set_partitioned(_cut);
	}
}

void platform_sync::set_platform_up(bool _up)
{
	if (_up != m_platform_up)
	{
		m_platform_up = _up;
		log_event(_up ? event::platform_up : event::platform_down);
	}
}

void platform_sync::notify(bool _config, const std::vector<record>& _records)
{
	if (m_on_change)
	{
		m_on_change(_config, _records);
	}
}

void platform_sync::run_reader(const yield_context& _yield)
{
	int tries = 0;
	while (!m_stopping)
	{
		if (!m_reader)
		{
			sleep_for(m_context.get_executor(), k_reader_check_interval, _yield);
			continue;
		}
		std::int64_t store_revision = 0;
		const bool read = read_all(_yield, store_revision);
		set_platform_up(read);
		if (read)
		{
			tries = 0;
			// Everything is read again after the watch, so the reason for its end does not matter.
			m_store->watch(
			    "watch", k_prefix_all, store_revision + 1,
			    [this](const watch_batch& _batch)
			    {
				    take_batch(_batch);
				    return m_reader && !m_stopping && !m_platform_older;
			    },
			    _yield);
		}
		sleep_for(m_context.get_executor(), backoff(tries++, m_random), _yield);
	}
}

bool platform_sync::read_all(const yield_context& _yield, std::int64_t& _revision)
{
	const range_reply head = m_store->range("read_head", k_key_head, false, _yield);
	if (call_status::done != head.status)
	{
		return false;
	}
	_revision = head.store_revision;
	const revision platform_revision =
	    head.values.empty() ? revision{} : head_from_text(head.values.front().value).rev;
	m_platform_older = platform_revision < m_configuration.state().rev;
	if (m_platform_older)
	{
		log_event(event::platform_older,
		    {{"there", platform_revision.value}, {"here", m_configuration.state().rev.value}});
		return restore(_yield);
	}
	if (m_configuration.state().rev < platform_revision && !read_config(_yield))
	{
		return false;
	}
	const range_reply records = m_store->range("read_records", k_prefix_record, true, _yield);
	take_store_records(records.values);
	return call_status::done == records.status;
}

bool platform_sync::read_config(const yield_context& _yield)
{
	const range_reply all = m_store->range("read_config", k_prefix_head_and_config, true, _yield);
	if (call_status::done != all.status)
	{
		return false;
	}
	config_state state;
	for (const store_value& value : all.values)
	{
		if (k_key_head == value.key)
		{
			state.rev = head_from_text(value.value).rev;
		}
		else if (is_resource_key(value.key))
		{
			state.resources[resource_name(value.key)] = resource_from_text(value.value);
		}
	}
	const apply_status status = m_configuration.apply(std::move(state));
	if (apply_status::applied == status)
	{
		notify(true, {});
	}
	if (apply_status::invalid == status)
	{
		log_event(event::config_refused, {{"mistakes", to_string(m_configuration.mistakes())}});
	}
	return true;
}

void platform_sync::take_batch(const watch_batch& _batch)
{
	message_config changes;
	std::vector<store_value> records;
	for (const store_value& value : _batch.puts)
	{
		if (k_key_head == value.key)
		{
			const config_head head = head_from_text(value.value);
			changes.rev = head.rev;
			changes.base = head.base;
		}
		else if (is_resource_key(value.key))
		{
			changes.changed[resource_name(value.key)] = resource_from_text(value.value);
		}
		else if (is_record_key(value.key))
		{
			records.push_back(value);
		}
	}
	for (const store_delete& gone : _batch.deletes)
	{
		if (is_resource_key(gone.key))
		{
			changes.removed.push_back(resource_name(gone.key));
		}
	}
	if (0 < changes.rev.value)
	{
		const apply_status status =
		    0 == changes.base.value && 1 < changes.rev.value ? apply_status::unknown_base : take(changes);
		if (apply_status::unknown_base == status)
		{
			start(m_context,
			    [this](const yield_context& _yield)
			    {
				    // If the platform does not answer here, the watch ends as well and everything is read
				    // again; an invalid configuration was logged.
				    read_config(_yield);
			    });
		}
	}
	take_store_records(records);
}

apply_status platform_sync::take(const message_config& _message)
{
	const apply_status status = m_configuration.apply(_message);
	if (apply_status::applied == status)
	{
		notify(true, {});
	}
	if (apply_status::invalid == status)
	{
		log_event(event::config_refused, {{"mistakes", to_string(m_configuration.mistakes())}});
	}
	return status;
}

void platform_sync::take_store_records(const std::vector<store_value>& _values)
{
	std::vector<record> records;
	records.reserve(_values.size());
	for (const store_value& value : _values)
	{
		records.push_back({record_name(value.key), value.value, record_sequence(value.value)});
	}
	take(records);
}

void platform_sync::take(const std::vector<record>& _records)
{
	std::vector<record> newer;
	for (const record& one : _records)
	{
		if (m_records.take(one))
		{
			newer.push_back(one);
		}
	}
	if (!newer.empty())
	{
		notify(false, newer);
	}
}

void platform_sync::run_vm_polls(const yield_context& _yield)
{
	while (!m_stopping)
	{
		sleep_for(m_context.get_executor(), k_vm_poll_interval + backoff(0, m_random), _yield);
		if (!m_reader || m_cut)
		{
			continue;
		}
		if (m_vms.poll(_yield))
		{
			notify(false, {});
		}
	}
}

bool platform_sync::hold_driver_lease(const yield_context& _yield)
{
	return m_lease.acquire_or_renew(*m_store, _yield);
}

std::map<std::string, std::uint64_t> platform_sync::calls() const
{
	std::map<std::string, std::uint64_t> all = m_store->calls();
	all["vms"] = m_vms.polls();
	return all;
}
} // namespace larkrack
