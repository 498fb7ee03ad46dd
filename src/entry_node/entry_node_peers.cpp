// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/entry_node_p.h"

#include "entry_node/deflate_p.h"
#include "entry_node/digest_codec_p.h"
#include "entry_node/store_changes_codec_p.h"
#include "steering/news_spread_p.h"

#include "larkrack/config.h"

#include <algorithm>
#include <limits>

namespace larkrack
{
namespace
{
/// Maximum size in bytes of a configuration that is fetched from another node first. Higher: a reader serves
/// larger configurations to a third of its region over a link of 20 Mbit/s (16 KiB to 33 nodes take 0.2 s).
/// Lower: each node calls the store. A configuration of 20 routes has 5 KB.
constexpr std::size_t k_max_peer_routes_bytes = 16384;
/// Maximum size of decompressed changes in bytes; a configuration of 100,000 routes fits.
constexpr std::size_t k_max_changes_bytes = 128U << 20U;
/// Revision higher than that of any configuration: the response then omits the configuration.
constexpr std::int64_t k_omit_routes = std::numeric_limits<std::int64_t>::max();

/// @returns The body of a response, decompressed if necessary; nodes of an earlier version do not compress.
result<std::vector<std::uint8_t>> bytes_of(const http_response& _response)
{
	const std::string& body = _response.body();
	if ("deflate" == _response[http::field::content_encoding])
	{
		return inflate_bytes(body, k_max_changes_bytes);
	}
	return std::vector<std::uint8_t>(body.begin(), body.end());
}
} // namespace

void entry_node::ask_for_paths(
    const relay_candidate& _node, const std::string& _body, node_paths::response_handler _handler)
{
	if (!m_settings.peers)
	{
		_handler(std::nullopt);
		return;
	}
	start(m_context,
	    [this, _node, _body, handler = std::move(_handler)](const yield_context& _yield)
	    {
		    const endpoint where{_node.ip, m_settings.peers->port};
		    result<http_response> reply = m_peer_caller.call(where,
		        make_request(http::verb::post, k_paths_target, where, _body), k_peer_fetch_timeout, _yield);
		    const http_response* response = value_of(reply);
		    const bool valid = nullptr != response && http::status::ok == response->result() &&
		                       k_relay_content_type == (*response)[http::field::content_type];
		    handler(valid ? std::make_optional(response->body()) : std::nullopt);
	    });
}

void entry_node::receive_datagrams()
{
	m_datagram_socket.async_receive_from(asio::buffer(m_datagram_buffer), m_datagram_sender,
	    [this](beast::error_code _error, std::size_t _size)
	    {
		    if (asio::error::operation_aborted == _error)
		    {
			    return;
		    }
		    if (!_error)
		    {
			    on_datagram(_size);
		    }
		    receive_datagrams();
	    });
}

void entry_node::on_datagram(std::size_t _size)
{
	if (is_quota_message(m_datagram_buffer.data(), _size))
	{
		result<quota_message> decoded = decode_quota_message(m_datagram_buffer.data(), _size);
		if (const quota_message* one = value_of(decoded))
		{
			m_quotas.on_message(*one, m_datagram_sender.address().to_string());
		}
		return;
	}
	if (is_limit_message(m_datagram_buffer.data(), _size))
	{
		result<limit_message> decoded =
		    decode_limit_message(m_datagram_buffer.data(), _size, m_clock.steady());
		if (const limit_message* one = value_of(decoded))
		{
			m_limits.on_message(*one, m_datagram_sender.address().to_string());
		}
		return;
	}
	if (is_crash_message(m_datagram_buffer.data(), _size))
	{
		result<crash_message> decoded = decode_crash_message(m_datagram_buffer.data(), _size);
		if (const crash_message* one = value_of(decoded))
		{
			m_crashes.on_message(*one, m_datagram_sender.address().to_string());
		}
		return;
	}
	if (is_domain_digest(m_datagram_buffer.data(), _size))
	{
		on_digest_datagram(_size);
		return;
	}
	if (is_rollout_report(m_datagram_buffer.data(), _size))
	{
		result<rollout_report> decoded = decode_rollout_report(m_datagram_buffer.data(), _size);
		if (const rollout_report* one = value_of(decoded))
		{
			m_rollouts.on_report(*one);
		}
		return;
	}
	result<node_heartbeat> decoded = decode_heartbeat(m_datagram_buffer.data(), _size);
	if (const node_heartbeat* one = value_of(decoded))
	{
		const contact_reply due = m_fleet.on_heartbeat(*one);
		if (contact_reply::none != due)
		{
			refresh_heartbeat();
			send_datagram(encode(m_fleet.unscheduled_heartbeat(due, one->domain)), one->ip);
		}
		m_replica.tick();
		fetch_from_peers();
		return;
	}
	result<store_changes> changes = decode_store_changes(m_datagram_buffer.data(), _size);
	if (const store_changes* some = value_of(changes))
	{
		on_peer_changes(*some);
	}
}

void entry_node::on_digest_datagram(std::size_t _size)
{
	const std::uint8_t* data = m_datagram_buffer.data();
	result<domain_digest> decoded = decode_domain_digest(data, _size);
	const domain_digest* digest = value_of(decoded);
	if (nullptr == digest)
	{
		return;
	}
	const std::vector<std::uint8_t> bytes(data, data + _size);
	for (const std::string& ip : m_fleet.relay_addresses(*digest, m_datagram_sender.address().to_string()))
	{
		send_datagram(bytes, ip);
	}
	m_fleet.on_digest(*digest);
	fetch_from_peers();
}

void entry_node::send_digests()
{
	const std::vector<std::string> targets = m_fleet.digest_targets();
	if (targets.empty())
	{
		return;
	}
	refresh_heartbeat();
	for (const domain_digest& part : m_fleet.digest())
	{
		const std::vector<std::uint8_t> bytes = encode(part);
		for (const std::string& ip : targets)
		{
			send_datagram(bytes, ip);
		}
	}
}

void entry_node::send_datagram(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
{
	beast::error_code ignored;
	const auto address = asio::ip::make_address(_ip, ignored);
	if (!ignored)
	{
		m_datagram_socket.send_to(asio::buffer(_bytes), {address, m_settings.heartbeat_port}, 0, ignored);
	}
}

std::optional<steady_time> entry_node::peers_store_response_at() const
{
	return m_fleet.peers_store_response_time();
}

bool entry_node::is_reader() const
{
	return m_fleet.reader().reads;
}

reader_decision entry_node::reader() const
{
	return m_fleet.reader();
}

bool entry_node::should_register() const
{
	return m_fleet.should_register();
}

void entry_node::on_store_changes(const store_changes& _changes)
{
	const std::vector<std::string> others = m_fleet.region_addresses();
	if (all_nodes_read(others.size()))
	{
		return;
	}
	store_changes sent = _changes;
	const bool routes_omitted = remove_if_oversized(sent.batch, m_dialect.codec().routes_key());
	const std::vector<store_changes> parts = split_for_datagrams(sent);
	const change_delivery method = choose_change_delivery(parts.size(), m_fleet.is_large());
	if (change_delivery::datagrams == method)
	{
		send_changes(parts, m_fleet.change_receivers());
	}
	if (change_delivery::announcement == method || routes_omitted)
	{
		send_heartbeat_to_region(); // The higher revision and version make the other nodes request the
		                            // changes.
	}
}

void entry_node::send_heartbeat_to(const std::vector<std::string>& _addresses)
{
	refresh_heartbeat();
	const std::vector<std::uint8_t> bytes = encode(m_fleet.unscheduled_heartbeat(contact_reply::heartbeat));
	for (const std::string& ip : _addresses)
	{
		send_datagram(bytes, ip);
	}
}

void entry_node::send_heartbeat_to_region()
{
	send_heartbeat_to(m_fleet.region_addresses());
}

void entry_node::send_changes(
    const std::vector<store_changes>& _parts, const std::vector<std::string>& _addresses)
{
	for (const store_changes& part : _parts)
	{
		const std::vector<std::uint8_t> bytes = encode(part);
		for (const std::string& ip : _addresses)
		{
			send_datagram(bytes, ip);
		}
	}
}

void entry_node::on_peer_changes(const store_changes& _changes)
{
	const bool is_new = _changes.batch.store_revision > m_replica.revision();
	m_replica.set_source(m_datagram_sender.address().to_string());
	m_replica.apply(_changes);
	if (is_new)
	{
		send_changes({_changes}, m_fleet.change_relay_receivers(m_datagram_sender.address().to_string()));
	}
}

store_confirmation entry_node::last_confirmation() const
{
	store_confirmation last{m_started_at, ""};
	const std::optional<steady_time> own = m_sync.health().last_answer;
	if (own && *own > last.at)
	{
		last = {*own, "store"};
	}
	const std::optional<store_confirmation> told =
	    m_fleet.peers_confirmation(m_replica.revision(), routes_version());
	return told && told->at > last.at ? *told : last;
}

void entry_node::check_confirmation()
{
	// The word of another node is up to two heartbeats old, since one may be lost.
	const steady_time::duration limit =
	    m_settings.changes.shortest() + 2 * m_fleet.region_heartbeat_interval();
	const store_confirmation last = last_confirmation();
	const steady_time::duration age = m_clock.steady() - last.at;
	const bool unconfirmed = age > limit;
	if (unconfirmed == m_unconfirmed)
	{
		return;
	}
	m_unconfirmed = unconfirmed;
	m_log.write(log_line(unconfirmed ? event::store_unheard : event::store_heard)
	                .number("age_ms", to_ms(age).count())
	                .text("from", last.by)
	                .number("config", static_cast<std::int64_t>(routes_version()))
	                .number("revision", m_replica.revision()));
}

void entry_node::refresh_heartbeat()
{
	node_heartbeat& self = m_fleet.self();
	self.config_version = routes_version();
	self.store_revision = m_replica.revision();
	self.requests_per_s = m_forwarder.requests_per_s();
	self.store_reached = m_sync.health().reached;
	self.store_answer_age.reset();
	if (const std::optional<steady_time> answered = m_sync.health().last_answer)
	{
		self.store_answer_age =
		    std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.steady() - *answered);
	}
	self.sent_per_s = m_forwarder.sent_per_s();
	self.in_flight = m_backends.own_in_flight();
}

void entry_node::send_heartbeats()
{
	refresh_heartbeat();
	const std::vector<std::uint8_t> bytes = encode(m_fleet.next_heartbeat());
	for (const std::string& ip : m_fleet.heartbeat_targets())
	{
		send_datagram(bytes, ip);
	}
}

void entry_node::fetch_from_peers()
{
	if (!m_settings.peers)
	{
		return;
	}
	fetch_missed_changes();
	m_config_catch_up.update(routes_version(), m_fleet.newest_config_told(), m_clock.steady());
	m_sync.check_watch(changes_told_elsewhere());
	fetch_missed_routes();
	read_missed_routes();
}

std::optional<told_changes> entry_node::changes_told_elsewhere() const
{
	const node_heartbeat* newer = m_fleet.peer_with_newer_keys(m_replica.revision());
	const bool config_behind = m_config_catch_up.behind();
	if (nullptr == newer && !config_behind)
	{
		return std::nullopt;
	}
	return told_changes{
	    nullptr == newer ? 0 : newer->store_revision, config_behind ? m_fleet.newest_config_told() : 0};
}

void entry_node::fetch_missed_changes()
{
	if (m_fetching_changes || nullptr == m_fleet.peer_with_newer_keys(m_replica.revision()))
	{
		return;
	}
	if (0 == m_replica.revision() || m_replica.copy_position())
	{
		fetch_full_copy();
		return;
	}
	m_fetching_changes = true;
	m_fetch_timer.expires_after(catch_up_delay(is_reader()));
	m_fetch_timer.async_wait(
	    [this](beast::error_code)
	    {
		    const node_heartbeat* newer = m_fleet.peer_with_newer_keys(m_replica.revision());
		    if (nullptr == newer)
		    {
			    m_fetching_changes = false;
			    return;
		    }
		    start(m_context,
		        [this, ip = newer->ip](const yield_context& _yield)
		        {
			        fetch_changes(ip, k_omit_routes, 0, _yield);
			        m_fetching_changes = false;
		        });
	    });
}

void entry_node::fetch_missed_routes()
{
	if (m_fetching_routes || nullptr == m_fleet.peer_with_newer_routes(routes_version()))
	{
		return;
	}
	m_fetching_routes = true;
	const bool is_first_fetch = 0 == routes_version() && 0 == m_routes_failures;
	m_fetch_routes_timer.expires_after(is_first_fetch
	                                       ? std::chrono::milliseconds(0)
	                                       : config_catch_up_delay(is_reader(), m_routes_failures));
	m_fetch_routes_timer.async_wait(
	    [this](beast::error_code)
	    {
		    start(m_context,
		        [this](const yield_context& _yield)
		        {
			        const std::uint64_t before = routes_version();
			        fetch_routes(_yield);
			        m_routes_failures = routes_version() > before ? 0 : m_routes_failures + 1;
			        m_fetching_routes = false;
		        });
	    });
}

void entry_node::read_missed_routes()
{
	if (m_reading_routes || !m_config_catch_up.store_read_due(m_clock.steady()))
	{
		return;
	}
	m_reading_routes = true;
	m_config_catch_up.on_store_read_begins();
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    const steady_time begin = m_clock.steady();
		    const steady_time::duration behind = m_config_catch_up.behind_for(begin);
		    const bool answered = m_sync.read_routes(_yield);
		    const steady_time now = m_clock.steady();
		    m_config_catch_up.on_store_read(answered, routes_version(), now, m_random);
		    m_log.write(log_line(event::config_fetched)
		                    .text("from", "store")
		                    .text("result", answered ? "answered" : "no_answer")
		                    .number("config", static_cast<std::int64_t>(routes_version()))
		                    .number("told", static_cast<std::int64_t>(m_fleet.newest_config_told()))
		                    .number("behind_ms", to_ms(behind).count())
		                    .number("ms", to_ms(now - begin).count()));
		    m_reading_routes = false;
	    });
}

void entry_node::fetch_routes(const yield_context& _yield)
{
	// A large configuration is read from the store if it answers: the links of nodes are narrow.
	const bool any_size = m_sync.health().failures > 0 || m_config_catch_up.store_failed();
	const std::uint64_t before = routes_version();
	const steady_time begin = m_clock.steady();
	const std::string peer = fetch_routes_from_peer(
	    any_size ? std::numeric_limits<std::size_t>::max() : k_max_peer_routes_bytes, _yield);
	if (routes_version() > before)
	{
		return;
	}
	const steady_time now = m_clock.steady();
	m_log.write(log_line(event::config_fetched)
	                .text("from", peer)
	                .text("result", "no_config")
	                .number("config", static_cast<std::int64_t>(before))
	                .number("told", static_cast<std::int64_t>(m_fleet.newest_config_told()))
	                .number("behind_ms", to_ms(m_config_catch_up.behind_for(now)).count())
	                .number("ms", to_ms(now - begin).count()));
	m_config_catch_up.on_peer_without_config(now);
	read_missed_routes();
}

std::string entry_node::fetch_routes_from_peer(std::size_t _max_bytes, const yield_context& _yield)
{
	const node_heartbeat* newer = m_fleet.peer_with_newer_routes(routes_version());
	if (nullptr == newer)
	{
		return "";
	}
	std::string ip = newer->ip;
	fetch_changes(ip, m_replica.routes_revision(), _max_bytes, _yield);
	return ip;
}

std::uint64_t entry_node::routes_version() const
{
	return m_forwarder.routes() ? m_forwarder.routes()->version() : 0;
}

void entry_node::fetch_changes(const std::string& _ip, std::int64_t _routes_revision,
    std::size_t _max_routes_bytes, const yield_context& _yield)
{
	const endpoint where{_ip, m_settings.peers->port};
	const std::string target = "/changes?after=" + std::to_string(m_replica.revision()) +
	                           "&routes=" + std::to_string(_routes_revision) +
	                           "&most_routes=" + std::to_string(_max_routes_bytes) + "&pages=1";
	result<http_response> reply =
	    m_peer_caller.call(where, make_request(http::verb::get, target, where), k_peer_fetch_timeout, _yield);
	const http_response* response = value_of(reply);
	if (nullptr != response && http::status::gone == response->result() && !m_replica.copy_position())
	{
		m_copy_started_at =
		    m_clock.steady(); // That node does not know all deletes since this node's revision any more.
		m_replica.begin_copy();
		return;
	}
	if (nullptr == response || http::status::ok != response->result())
	{
		return;
	}
	result<std::vector<std::uint8_t>> bytes = bytes_of(*response);
	if (nullptr == value_of(bytes))
	{
		return;
	}
	result<store_changes> decoded = decode_store_changes(value_of(bytes)->data(), value_of(bytes)->size());
	const store_changes* changes = value_of(decoded);
	m_replica.set_source(_ip);
	if (nullptr == changes || !m_replica.apply(*changes))
	{
		return;
	}
	m_log.write(log_line(event::state_learned)
	                .text("from", _ip)
	                .number("whole", changes->whole ? 1 : 0)
	                .number("revision", changes->batch.store_revision));
	m_forwarder.retry_waiting_requests();
}
} // namespace larkrack
