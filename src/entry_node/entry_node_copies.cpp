// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/deflate_p.h"
#include "entry_node/entry_node_p.h"
#include "entry_node/store_changes_codec_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Maximum size of a decompressed page in bytes: k_page_bytes, one value that exceeds it, and CBOR overhead.
constexpr std::size_t k_max_page_bytes = 16 * k_page_bytes;
} // namespace

copy_step entry_node::next_copy_step()
{
	const steady_time now = m_clock.steady();
	copy_view view;
	m_fleet.fill_copy_view(view);
	m_last_page_at = view.anyone_has_keys ? m_last_page_at : now;
	view.passed = now - m_copy_started_at;
	view.since_page = now - std::max(m_copy_started_at, m_last_page_at);
	return plan_copy(view);
}

void entry_node::fetch_full_copy()
{
	m_fetching_changes = true;
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    fetch_pages(_yield);
		    m_fetching_changes = false;
	    });
}

void entry_node::fetch_pages(const yield_context& _yield)
{
	m_replica.begin_copy();
	while (m_replica.copy_position() && !m_stopping)
	{
		copy_step step = next_copy_step();
		if (copy_step::from_store == step && 0 != m_replica.revision())
		{
			step = copy_step::from_anyone; // This node has older keys and need not read the store.
		}
		const bool may_request_trial = copy_step::wait != step && copy_step::from_store != step;
		const node_heartbeat* source =
		    may_request_trial ? m_fleet.choose_page_source(step, ++m_page_requests) : nullptr;
		if (nullptr == source)
		{
			return; // The copy is resumed on a later heartbeat.
		}
		if (fetch_page(std::string(source->ip), _yield))
		{
			m_last_page_at = m_clock.steady();
			continue;
		}
		sleep_for(m_context.get_executor(), k_copy_retry_pause, _yield);
	}
	m_forwarder.retry_waiting_requests();
	send_heartbeat_to(m_fleet.domain_addresses()); // They may fetch pages from this node now.
}

bool entry_node::fetch_page(const std::string& _ip, const yield_context& _yield)
{
	const endpoint where{_ip, m_settings.peers->port};
	const std::string after = *m_replica.copy_position();
	const std::string target = "/state?behind=" + hex_of(after);
	result<http_response> reply =
	    m_peer_caller.call(where, make_request(http::verb::get, target, where), k_peer_fetch_timeout, _yield);
	const http_response* response = value_of(reply);
	if (nullptr != response && http::status::service_unavailable == response->result())
	{
		m_last_page_at =
		    m_clock.steady(); // The node is busy serving pages to others, which then serve this node.
	}
	if (nullptr == response || http::status::ok != response->result() || after != m_replica.copy_position())
	{
		return false;
	}
	result<std::vector<std::uint8_t>> bytes = inflate_bytes(response->body(), k_max_page_bytes);
	if (nullptr == value_of(bytes))
	{
		return false;
	}
	result<state_page> page = decode_state_page(*value_of(bytes), after);
	if (nullptr == value_of(page))
	{
		return false;
	}
	m_replica.set_source(_ip);
	m_replica.apply_page(*value_of(page));
	if (!m_replica.copy_position())
	{
		m_log.write(log_line(event::state_learned)
		                .text("from", _ip)
		                .number("whole", 1)
		                .number("revision", m_replica.revision()));
	}
	return true;
}

void entry_node::on_initial_read()
{
	// The nodes of the failure domain wait for this heartbeat: 67 nodes that start together are ready as soon
	// as if each had read the store.
	send_heartbeat_to(m_fleet.domain_addresses());
}
} // namespace larkrack
