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
/// Milliseconds for which a request waits for a token, at most: a question to another region and back takes
/// 70. Longer: callers wait in vain. Shorter: tokens of other regions come too late.
constexpr std::chrono::milliseconds k_longest_ask{100};
/// Milliseconds between two times that a region is told of one limit, at least, and for each of its nodes.
/// Shorter: more datagrams about a limit that changes with each answer.
constexpr std::chrono::milliseconds k_told_again{500};
constexpr std::chrono::milliseconds k_told_again_per_node{2}; ///< See above.
/// A region is told of a limit once that differs from what was told by this part, no unit. Lower: more
/// datagrams. Higher: nodes that send little believe in an older limit until their next answer.
constexpr double k_told_change = 0.2;

std::chrono::milliseconds tell_pause(std::size_t _nodes)
{
	return std::max(k_told_again, k_told_again_per_node * static_cast<std::int64_t>(_nodes));
}

/// @returns Whether a limit is far from what was told.
bool differs(const std::optional<double>& _told, const std::optional<double>& _now)
{
	if (_told.has_value() != _now.has_value())
	{
		return true;
	}
	return _now && std::abs(*_now - *_told) > k_told_change * *_told;
}
} // namespace

backend_limits::backend_limits(asio::io_context& _context, const clock_base& _clock,
    const fleet_view_base& _fleet, const backend_registry& _backends, const placement& _placement,
    entry_log& _log, sender _send)
    : m_region(_placement.region), m_clock(_clock), m_fleet(_fleet), m_backends(_backends), m_log(_log),
      m_send(std::move(_send)),
      m_tokens(_context, _clock, k_limit_bounds, k_longest_ask, _fleet, node_name(_placement.node), *this)
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
	if (quota_answer::waits == answer && 0 == holders_of(subject->id).first.name_hash)
	{
		answer = quota_answer::unknown; // No node of its region is in sight.
	}
	m_refused += quota_answer::over == answer || quota_answer::unknown == answer ? 1 : 0;
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

void backend_limits::give_back(const backend_state& _backend)
{
	if (const std::optional<quota_subject> subject = find_subject(_backend.id_hash))
	{
		m_tokens.give_back(*subject);
	}
}

std::optional<quota_subject> backend_limits::find_subject(std::uint64_t _id) const
{
	const backend_server* backend = m_backends.find_life(static_cast<std::uint32_t>(_id));
	if (nullptr == backend || !backend->limit.limited())
	{
		return std::nullopt;
	}
	return subject_of(_id, *backend->limit.word().per_s);
}

quota_holders backend_limits::holders_of(std::uint64_t _id) const
{
	const backend_server* backend = m_backends.find_life(static_cast<std::uint32_t>(_id));
	return nullptr == backend ? quota_holders()
	                          : m_fleet.holders_in(backend->region, ring_place(backend->id_hash));
}

bool backend_limits::lends(std::uint32_t _life) const
{
	const quota_holder lender = holders_of(_life).first;
	return 0 != lender.name_hash && lender.ip.empty();
}

void backend_limits::send(const quota_message& _message, const std::string& _ip)
{
	limit_message message;
	if (const auto* request = std::get_if<quota_request>(&_message))
	{
		message.life = static_cast<std::uint32_t>(request->customer);
		message.tokens = *request;
	}
	else
	{
		const auto& grant = std::get<quota_grant>(_message);
		message.life = static_cast<std::uint32_t>(grant.customer);
		message.tokens = grant;
	}
	if (const backend_server* backend = m_backends.find_life(message.life))
	{
		message.word = backend->limit.word();
		m_send(encode(message, m_clock.steady()), _ip);
	}
}

void backend_limits::on_word(backend_server& _backend, const limit_word& _word)
{
	if (!take_word(_backend, _word))
	{
		return;
	}
	const quota_holder lender = holders_of(_backend.id_hash).first;
	if (!lender.ip.empty())
	{
		send_word(_backend, lender.ip);
	}
	tell_others(_backend);
}

bool backend_limits::take_word(backend_server& _backend, const limit_word& _word)
{
	const limit_word before = _backend.limit.word();
	if (!_backend.limit.hear(_word))
	{
		return false;
	}
	log_change(_backend, before);
	if (before.per_s && _word.per_s && *_word.per_s < *before.per_s)
	{
		m_tokens.on_limit_fell(_backend.id_hash, *_word.per_s / *before.per_s);
	}
	return true;
}

void backend_limits::log_change(const backend_server& _backend, const limit_word& _before)
{
	const limit_word& now = _backend.limit.word();
	const char* state = !_before.per_s ? "begins" : now.per_s ? "changes" : "ends";
	m_log.write(log_line(event::backend_limited)
	                .text("backend", _backend.registered.id.text)
	                .text("service", _backend.registered.service.text)
	                .text("state", state)
	                .decimal("limit_per_s", now.per_s.value_or(0.0)));
}

bool backend_limits::tells(std::uint32_t _life) const
{
	const quota_holder teller = m_fleet.holders_in(m_region, ring_place(_life)).first;
	return 0 != teller.name_hash && teller.ip.empty();
}

void backend_limits::tell_others(const backend_server& _backend)
{
	if (!tells(_backend.id_hash))
	{
		return;
	}
	const std::vector<std::string> neighbours = m_fleet.region_addresses();
	told_word& told = m_told[_backend.id_hash];
	const steady_time now = m_clock.steady();
	const std::optional<double>& per_s = _backend.limit.word().per_s;
	if (!differs(told.per_s, per_s) || now - told.at < tell_pause(neighbours.size()))
	{
		return; // tick() looks again.
	}
	told = {per_s, now};
	for (const std::string& ip : neighbours)
	{
		send_word(_backend, ip);
	}
	if (!lends(_backend.id_hash))
	{
		return;
	}
	for (const region_name& region : m_backends.regions())
	{
		const quota_holder teller = m_fleet.holders_in(region, ring_place(_backend.id_hash)).first;
		if (!teller.ip.empty())
		{
			send_word(_backend, teller.ip);
		}
	}
}

void backend_limits::send_word(const backend_server& _backend, const std::string& _ip)
{
	m_send(encode(limit_message{_backend.id_hash, _backend.limit.word(), {}}, m_clock.steady()), _ip);
}

void backend_limits::on_message(const limit_message& _message, const std::string& _sender_ip)
{
	backend_server* backend = m_backends.find_life(_message.life);
	if (nullptr == backend)
	{
		return; // Its entry is not known here yet.
	}
	if (take_word(*backend, _message.word))
	{
		tell_others(*backend);
	}
	const auto* request = std::get_if<quota_request>(&_message.tokens);
	if (nullptr != request && !backend->limit.limited())
	{
		answer_unlimited(*backend, *request, _sender_ip);
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

void backend_limits::answer_unlimited(
    const backend_server& _backend, const quota_request& _request, const std::string& _ip)
{
	const quota_grant grant{_backend.id_hash, _request.wanted, {}};
	m_send(encode(limit_message{_backend.id_hash, _backend.limit.word(), grant}, m_clock.steady()), _ip);
}

void backend_limits::tick()
{
	const nodes_in_sight nodes = m_fleet.in_sight_of_region();
	m_tokens.tick({lending_nodes(nodes.live, nodes.most), nodes.most, nodes.version});
	for (auto it = m_told.begin(); it != m_told.end();)
	{
		const backend_server* backend = m_backends.find_life(it->first);
		if (nullptr == backend || !tells(it->first) || (!it->second.per_s && !backend->limit.limited()))
		{
			it = m_told.erase(it);
			continue;
		}
		tell_others(*backend);
		++it;
	}
}
} // namespace larkrack
