// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/backend_limits_p.h"

#include "steering/node_ring_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Maximum time that a request waits for a token: a round trip to another region takes 70 ms. A longer wait
/// delays callers in vain; with a shorter one, tokens of other regions arrive too late.
constexpr std::chrono::milliseconds k_max_token_wait{100};
/// Minimum time between two announcements of one limit to a region. The interval is at least
/// k_announce_interval, and at least k_announce_interval_per_node for each node of the region. Shorter
/// intervals send more datagrams about a limit that changes with each response.
constexpr std::chrono::milliseconds k_announce_interval{500};
constexpr std::chrono::milliseconds k_announce_interval_per_node{2}; ///< Interval for each node.
/// Relative change from the announced limit above which a limit is announced again (no unit). A lower value
/// sends more datagrams; with a higher one, nodes with few requests use an outdated limit until their next
/// response.
constexpr double k_announced_change = 0.2;

std::chrono::milliseconds announce_interval(std::size_t _nodes)
{
	return std::max(k_announce_interval, k_announce_interval_per_node * static_cast<std::int64_t>(_nodes));
}

/// @returns Whether a limit differs noticeably from the announced one.
bool differs(const std::optional<double>& _announced, const std::optional<double>& _now)
{
	if (_announced.has_value() != _now.has_value())
	{
		return true;
	}
	return _now && std::abs(*_now - *_announced) > k_announced_change * *_announced;
}
} // namespace

backend_limits::backend_limits(asio::io_context& _context, const clock_base& _clock,
    const fleet_view_base& _fleet, const backend_registry& _backends, const placement& _placement,
    entry_log& _log, sender _send)
    : m_region(_placement.region), m_clock(_clock), m_fleet(_fleet), m_backends(_backends), m_log(_log),
      m_send(std::move(_send)),
      m_tokens(_context, _clock, k_limit_bounds, k_max_token_wait, _fleet, node_name(_placement.node), *this)
{
}

quota_answer backend_limits::take(const backend_state& _backend)
{
	const std::optional<quota_subject> subject = find_subject(_backend.id_hash);
	if (!subject)
	{
		return quota_answer::granted;
	}
	quota_answer answer = m_tokens.take(*subject);
	if (quota_answer::waits == answer && 0 == responsible_for(subject->id).first.name_hash)
	{
		answer = quota_answer::unknown; // No node of the backend server's region is reachable.
	}
	m_refused += quota_answer::over_limit == answer || quota_answer::unknown == answer ? 1 : 0;
	return answer;
}

void backend_limits::wait_for_token(const backend_state& _backend, handler _decided)
{
	if (const std::optional<quota_subject> subject = find_subject(_backend.id_hash))
	{
		m_tokens.wait(*subject, std::move(_decided));
		return;
	}
	_decided(quota_answer::granted);
}

void backend_limits::return_token(const backend_state& _backend)
{
	if (const std::optional<quota_subject> subject = find_subject(_backend.id_hash))
	{
		m_tokens.return_token(*subject);
	}
}

std::optional<quota_subject> backend_limits::find_subject(std::uint64_t _id) const
{
	const backend_server* backend = m_backends.find_incarnation(static_cast<std::uint32_t>(_id));
	if (nullptr == backend || !backend->limit.limited())
	{
		return std::nullopt;
	}
	return limit_quota_subject(_id, *backend->limit.report().per_s);
}

responsible_nodes backend_limits::responsible_for(std::uint64_t _id) const
{
	const backend_server* backend = m_backends.find_incarnation(static_cast<std::uint32_t>(_id));
	return nullptr == backend
	           ? responsible_nodes()
	           : m_fleet.responsible_in_region(backend->region, ring_position(backend->id_hash));
}

bool backend_limits::is_lender(std::uint32_t _incarnation) const
{
	const responsible_node lender = responsible_for(_incarnation).first;
	return 0 != lender.name_hash && lender.ip.empty();
}

void backend_limits::send(const quota_message& _message, const std::string& _ip)
{
	limit_message message;
	if (const auto* request = std::get_if<quota_request>(&_message))
	{
		message.incarnation = static_cast<std::uint32_t>(request->customer);
		message.tokens = *request;
	}
	else
	{
		const auto& grant = std::get<quota_grant>(_message);
		message.incarnation = static_cast<std::uint32_t>(grant.customer);
		message.tokens = grant;
	}
	if (const backend_server* backend = m_backends.find_incarnation(message.incarnation))
	{
		message.report = backend->limit.report();
		m_send(encode(message, m_clock.steady()), _ip);
	}
}

void backend_limits::on_limit_report(backend_server& _backend, const limit_report& _limit)
{
	if (!apply_limit(_backend, _limit))
	{
		return;
	}
	const responsible_node lender = responsible_for(_backend.id_hash).first;
	if (!lender.ip.empty())
	{
		send_limit(_backend, lender.ip);
	}
	announce_limit(_backend);
}

bool backend_limits::apply_limit(backend_server& _backend, const limit_report& _limit)
{
	const limit_report before = _backend.limit.report();
	if (!_backend.limit.take_report(_limit))
	{
		return false;
	}
	log_change(_backend, before);
	if (before.per_s && _limit.per_s && *_limit.per_s < *before.per_s)
	{
		m_tokens.on_limit_lowered(_backend.id_hash, *_limit.per_s / *before.per_s);
	}
	return true;
}

void backend_limits::log_change(const backend_server& _backend, const limit_report& _before)
{
	const limit_report& now = _backend.limit.report();
	const char* state = !_before.per_s ? "begins" : now.per_s ? "changes" : "ends";
	m_log.write(log_line(event::backend_limited)
	                .text("backend", _backend.registered.id.text)
	                .text("service", _backend.registered.service.text)
	                .text("state", state)
	                .decimal("limit_per_s", now.per_s.value_or(0.0)));
}

bool backend_limits::is_announcer(std::uint32_t _incarnation) const
{
	const responsible_node announcer =
	    m_fleet.responsible_in_region(m_region, ring_position(_incarnation)).first;
	return 0 != announcer.name_hash && announcer.ip.empty();
}

void backend_limits::announce_limit(const backend_server& _backend)
{
	if (!is_announcer(_backend.id_hash))
	{
		return;
	}
	const std::vector<std::string> region_addresses = m_fleet.region_addresses();
	announced_limit& announced = m_announced[_backend.id_hash];
	const steady_time now = m_clock.steady();
	const std::optional<double>& per_s = _backend.limit.report().per_s;
	if (!differs(announced.per_s, per_s) || now - announced.at < announce_interval(region_addresses.size()))
	{
		return; // tick() checks again.
	}
	announced = {per_s, now};
	for (const std::string& ip : region_addresses)
	{
		send_limit(_backend, ip);
	}
	if (!is_lender(_backend.id_hash))
	{
		return;
	}
	for (const region_name& region : m_backends.regions())
	{
		const responsible_node announcer =
		    m_fleet.responsible_in_region(region, ring_position(_backend.id_hash)).first;
		if (!announcer.ip.empty())
		{
			send_limit(_backend, announcer.ip);
		}
	}
}

void backend_limits::send_limit(const backend_server& _backend, const std::string& _ip)
{
	m_send(encode(limit_message{_backend.id_hash, _backend.limit.report(), {}}, m_clock.steady()), _ip);
}

void backend_limits::on_message(const limit_message& _message, const std::string& _sender_ip)
{
	backend_server* backend = m_backends.find_incarnation(_message.incarnation);
	if (nullptr == backend)
	{
		return; // This node does not know the backend server's registry entry yet.
	}
	if (apply_limit(*backend, _message.report))
	{
		announce_limit(*backend);
	}
	const auto* request = std::get_if<quota_request>(&_message.tokens);
	if (nullptr != request && !backend->limit.limited())
	{
		grant_unlimited(*backend, *request, _sender_ip);
	}
	else if (nullptr != request)
	{
		m_tokens.on_message(*request, _sender_ip);
	}
	else if (const auto* grant = std::get_if<quota_grant>(&_message.tokens))
	{
		m_tokens.on_message(*grant, _sender_ip);
	}
}

void backend_limits::grant_unlimited(
    const backend_server& _backend, const quota_request& _request, const std::string& _ip)
{
	const quota_grant grant{_backend.id_hash, _request.wanted, {}};
	m_send(encode(limit_message{_backend.id_hash, _backend.limit.report(), grant}, m_clock.steady()), _ip);
}

void backend_limits::tick()
{
	const live_node_counts nodes = m_fleet.live_nodes_of_region();
	m_tokens.tick({lender_node_count(nodes.live, nodes.most), nodes.most, nodes.version});
	for (auto it = m_announced.begin(); it != m_announced.end();)
	{
		const backend_server* backend = m_backends.find_incarnation(it->first);
		if (nullptr == backend || !is_announcer(it->first) ||
		    (!it->second.per_s && !backend->limit.limited()))
		{
			it = m_announced.erase(it);
			continue;
		}
		announce_limit(*backend);
		++it;
	}
}
} // namespace larkrack
