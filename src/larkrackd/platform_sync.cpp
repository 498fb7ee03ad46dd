// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/platform_sync_p.h"

#include "larkrackd/log_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Pause of a node that need not read before it looks again whether it must. Not measured.
constexpr std::chrono::milliseconds k_reader_check_interval{200};
/// Pause between two looks at the list of VMs: how late a VM is known to be gone, against calls to the
/// platform. Not measured.
constexpr std::chrono::milliseconds k_vm_poll{1000};

std::chrono::microseconds backoff(int _tries, std::mt19937_64& _random)
{
	const auto longest =
	    std::min<std::chrono::milliseconds>(k_backoff_last, k_backoff_first * (1 << std::min(_tries, 6)));
	// Full jitter: after an outage the nodes do not come back together.
	return std::chrono::microseconds(
	    std::uniform_int_distribution<std::int64_t>(1, std::chrono::microseconds(longest).count())(_random));
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
		    read_for_ever(_yield);
	    });
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    poll_vms_for_ever(_yield);
	    });
	return std::nullopt;
}

void platform_sync::shutdown()
{
	m_stopping = true;
}

void platform_sync::set_cut(bool _cut)
{
	m_cut = _cut;
	if (auto* over_http = dynamic_cast<store_http*>(m_store))
	{
		over_http->set_cut(_cut);
	}
}

void platform_sync::note(bool _up)
{
	if (_up != m_up)
	{
		m_up = _up;
		log_event(_up ? event::platform_up : event::platform_down);
	}
}

void platform_sync::tell(bool _config, const std::vector<record>& _records)
{
	if (m_on_change)
	{
		m_on_change(_config, _records);
	}
}

void platform_sync::read_for_ever(const yield_context& _yield)
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
		note(read);
		if (read)
		{
			tries = 0;
			// However it ended, everything is read anew, so why it ended makes no difference.
			m_store->watch(
			    "watch", k_prefix_all, store_revision + 1,
			    [this](const watch_batch& _batch)
			    {
				    take_batch(_batch);
				    return m_reader && !m_stopping && !m_older;
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
	const revision there = head.values.empty() ? revision{} : head_from_text(head.values.front().value).rev;
	m_older = there < m_book.state().rev;
	if (m_older)
	{
		log_event(event::platform_older, {{"there", there.value}, {"here", m_book.state().rev.value}});
		return restore(_yield);
	}
	if (m_book.state().rev < there && !read_config(_yield))
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
	const take_status taken = m_book.take(std::move(state));
	if (take_status::taken == taken)
	{
		tell(true, {});
	}
	if (take_status::invalid == taken)
	{
		log_event(event::config_refused, {{"mistakes", to_string(m_book.mistakes())}});
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
		const take_status taken =
		    0 == changes.base.value && 1 < changes.rev.value ? take_status::gap : take(changes);
		if (take_status::gap == taken)
		{
			start(m_context,
			    [this](const yield_context& _yield)
			    {
				    // A platform that does not answer here ends the watch as well, and then everything is
				    // read anew; an invalid configuration was logged.
				    read_config(_yield);
			    });
		}
	}
	take_store_records(records);
}

take_status platform_sync::take(const message_config& _message)
{
	const take_status taken = m_book.take(_message);
	if (take_status::taken == taken)
	{
		tell(true, {});
	}
	if (take_status::invalid == taken)
	{
		log_event(event::config_refused, {{"mistakes", to_string(m_book.mistakes())}});
	}
	return taken;
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
		tell(false, newer);
	}
}

void platform_sync::poll_vms_for_ever(const yield_context& _yield)
{
	while (!m_stopping)
	{
		sleep_for(m_context.get_executor(), k_vm_poll + backoff(0, m_random), _yield);
		if (!m_reader || m_cut)
		{
			continue;
		}
		if (m_vms.poll(_yield))
		{
			tell(false, {});
		}
	}
}

bool platform_sync::hold_driver_lease(const yield_context& _yield)
{
	return m_lease.hold(*m_store, _yield);
}

std::map<std::string, std::uint64_t> platform_sync::calls() const
{
	std::map<std::string, std::uint64_t> all = m_store->calls();
	all["vms"] = m_vms.polls();
	return all;
}
} // namespace larkrack
