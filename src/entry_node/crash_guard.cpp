// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/crash_guard_p.h"

#include <algorithm>
#include <cstdio>

namespace larkrack
{
namespace
{
/// Time from a message to its first repetition; the interval to the next one is four times as long.
constexpr std::chrono::milliseconds k_first_repeat{400};
constexpr int k_repeat_factor = 4;  ///< Ratio of two successive intervals.
constexpr int k_report_repeats = 1; ///< Repetitions of messages to the counting nodes.
/// Maximum number of messages that wait for repetition. It is exceeded when requests crash backend servers
/// faster than the crashes can be reported.
constexpr std::size_t k_max_repeats = 2000;
/// Maximum number of backend servers that are probed at the same time.
constexpr std::size_t k_max_probes = 64;
/// Maximum number of requests of one crash that are reported.
constexpr std::size_t k_max_reported_requests = 64;
/// Maximum number of requests of one crash that the log lists.
constexpr std::size_t k_max_logged_requests = 16;

/// @returns Whether a request has no body, so that its head alone identifies it.
bool has_no_body(const request_fingerprint& _request)
{
	return _request.head == _request.content;
}

/// @returns Key of a request of one caller among the requests that were served recently.
std::uint64_t served_key(const request_fingerprint& _request)
{
	return request_content_hash(
	    _request.content, {reinterpret_cast<const char*>(&_request.caller), sizeof(_request.caller)});
}
} // namespace

std::string hex_of(const request_fingerprint& _request)
{
	char text[32];
	std::snprintf(text, sizeof(text), "%016llx-%08x", static_cast<unsigned long long>(_request.content),
	    _request.caller);
	return text;
}

crash_guard::crash_guard(asio::io_context& _context, const clock_base& _clock, const fleet_view_base& _fleet,
    const backend_registry& _backends, const region_name& _region, entry_log& _log, sender _send,
    writer _write)
    : m_context(_context), m_clock(_clock), m_fleet(_fleet), m_backends(_backends), m_region(_region),
      m_log(_log), m_send(std::move(_send)), m_write(std::move(_write)), m_trial_timer(_context)
{
}

crash_guard::~crash_guard()
{
	*m_alive = false;
	for (auto& [incarnation, suspected] : m_suspected_crashes)
	{
		suspected.probe->cancel();
	}
}

bool crash_guard::tracks_head(std::uint64_t _head) const
{
	return m_blocked.may_match(_head) || (!m_observed.empty() && m_observed.suspects(_head));
}

void crash_guard::on_connection_broken(const backend_ptr& _backend, const request_fingerprint& _request)
{
	const std::uint32_t incarnation = _backend->id_hash;
	if (m_suspected_crashes.end() == m_suspected_crashes.find(incarnation) &&
	    m_suspected_crashes.size() >= k_max_probes)
	{
		return;
	}
	suspected_crash& suspected = m_suspected_crashes[incarnation];
	if (suspected.requests.size() < k_max_reported_requests)
	{
		suspected.requests.push_back(_request);
	}
	if (suspected.probe)
	{
		return;
	}
	suspected.backend = _backend;
	suspected.probe = std::make_shared<crash_probe>(m_context, _backend,
	    [this, incarnation](bool _crashed)
	    {
		    on_probed(incarnation, _crashed);
	    });
	suspected.probe->start();
}

void crash_guard::on_probed(std::uint32_t _incarnation, bool _crashed)
{
	if (!_crashed || nullptr == m_witness)
	{
		on_path_confirmed(_incarnation, _crashed);
		return;
	}
	// A broken path may refuse connections too.
	m_witness->confirm_path(*m_suspected_crashes.at(_incarnation).backend,
	    [this, alive = m_alive, _incarnation](bool _works)
	    {
		    if (*alive)
		    {
			    on_path_confirmed(_incarnation, _works);
		    }
	    });
}

void crash_guard::on_path_confirmed(std::uint32_t _incarnation, bool _works)
{
	const auto it = m_suspected_crashes.find(_incarnation);
	const suspected_crash suspected = std::move(it->second);
	m_suspected_crashes.erase(it);
	if (_works)
	{
		on_backend_crashed(*suspected.backend, suspected.requests);
	}
}

void crash_guard::on_backend_crashed(
    const backend_server& _backend, const std::vector<request_fingerprint>& _requests)
{
	std::string listed;
	for (std::size_t i = 0; i < std::min(_requests.size(), k_max_logged_requests); ++i)
	{
		listed += (0 == i ? "" : ",") + hex_of(_requests[i]);
	}
	m_log.write(log_line(event::backend_ended)
	                .text("backend", _backend.registered.id.text)
	                .text("service", _backend.registered.service.text)
	                .number("requests", static_cast<std::int64_t>(_requests.size()))
	                .text("named", listed));
	for (const request_fingerprint& request : _requests)
	{
		report_crash(_backend.id_hash, request);
	}
}

void crash_guard::report_crash(std::uint32_t _incarnation, const request_fingerprint& _request)
{
	if (was_served_recently(_request))
	{
		return;
	}
	const steady_time now = m_clock.steady();
	const bool caller_only = has_no_body(_request) && m_served.has(_request.content, now);
	m_observed.on_crash(_request, {_incarnation, _request.caller, caller_only, now});
	const crash_report report{_request, _incarnation, caller_only};
	send_to_counting_nodes(report, _request);
	repeat(report, {}, k_report_repeats);
}

bool crash_guard::may_retry(const request_fingerprint& _request) const
{
	const auto suspected =
	    static_cast<std::size_t>(std::count_if(m_suspected_crashes.begin(), m_suspected_crashes.end(),
	        [&_request](const auto& _entry)
	        {
		        const std::vector<request_fingerprint>& requests = _entry.second.requests;
		        return requests.end() != std::find(requests.begin(), requests.end(), _request);
	        }));
	return m_observed.crash_count(_request) + suspected < k_crashes_to_block &&
	       nullptr == m_blocked.find(_request);
}

bool crash_guard::was_served_recently(const request_fingerprint& _request) const
{
	return has_no_body(_request) && m_served.has(served_key(_request), m_clock.steady());
}

void crash_guard::on_answered(const request_fingerprint& _request)
{
	if (has_no_body(_request))
	{
		m_served.note(_request.content, m_clock.steady());
		m_served.note(served_key(_request), m_clock.steady());
	}
	if (!tracks_head(_request.head))
	{
		return;
	}
	const bool suspected = m_observed.crash_count(_request) > 0 || nullptr != m_blocked.find(_request);
	m_observed.on_served(_request);
	if (suspected)
	{
		send_to_counting_nodes(success_report{_request}, _request);
	}
}

void crash_guard::count_crash(const crash_report& _report)
{
	const std::optional<request_fingerprint> blamed = m_counted.on_crash(_report.request,
	    {_report.incarnation, _report.request.caller, _report.caller_only, m_clock.steady()});
	if (blamed && nullptr == m_blocked.find(*blamed))
	{
		block(*blamed);
	}
}

void crash_guard::count_served(const success_report& _report)
{
	m_counted.on_served(_report.request);
	const request_block* found = m_blocked.find(_report.request);
	if (nullptr == found)
	{
		return;
	}
	request_block cleared = *found;
	cleared.blocked = false;
	++cleared.number;
	announce(cleared);
}

void crash_guard::on_message(const crash_message& _message, const std::string& _sender_ip)
{
	if (const auto* report = std::get_if<crash_report>(&_message))
	{
		count_crash(*report);
	}
	else if (const auto* served = std::get_if<success_report>(&_message))
	{
		count_served(*served);
	}
	else if (const auto* update = std::get_if<block_update>(&_message))
	{
		const bool is_new = apply_block(update->block);
		if (is_new && update->forwards_changes)
		{
			send_to_region(update->block);
		}
		const request_block* known = m_blocked.known(update->block.request);
		if (!is_new && nullptr != known && update->block < *known)
		{
			send(block_update{*known, false}, {_sender_ip}); // The sender has missed the newer state.
		}
	}
	else if (const auto* asked = std::get_if<trial_request>(&_message))
	{
		const bool granted = grant_trial(asked->request, asked->versions).has_value();
		send(trial_response{asked->request, granted}, {_sender_ip});
	}
	else if (const auto* answer = std::get_if<trial_response>(&_message))
	{
		finish_trial(answer->request, answer->granted);
	}
	else if (const auto* returned = std::get_if<trial_unused>(&_message))
	{
		if (const auto block = m_blocked.return_trial(returned->request, m_clock.steady()))
		{
			announce(*block);
		}
	}
}

void crash_guard::send_to_counting_nodes(const crash_message& _message, const request_fingerprint& _request)
{
	const responsible_nodes counting_nodes = m_fleet.responsible_for(_request.content);
	for (const responsible_node& node : {counting_nodes.first, counting_nodes.backup})
	{
		if (0 == node.name_hash)
		{
			continue;
		}
		if (node.ip.empty())
		{
			on_message(_message, "");
			continue;
		}
		send(_message, {node.ip});
	}
}

void crash_guard::send(const crash_message& _message, const std::vector<std::string>& _addresses)
{
	if (_addresses.empty())
	{
		return;
	}
	const std::vector<std::uint8_t> bytes = encode(_message);
	for (const std::string& ip : _addresses)
	{
		m_send(bytes, ip);
	}
}

void crash_guard::repeat(const crash_message& _message, std::vector<std::string> _addresses, int _times)
{
	const bool to_counting_nodes = std::holds_alternative<crash_report>(_message);
	if (m_repeats.size() < k_max_repeats && (to_counting_nodes || !_addresses.empty()))
	{
		m_repeats.push_back({_message, std::move(_addresses), m_clock.steady() + k_first_repeat, _times});
	}
}

void crash_guard::send_repeats()
{
	const steady_time now = m_clock.steady();
	for (auto it = m_repeats.begin(); it != m_repeats.end();)
	{
		if (now < it->next)
		{
			++it;
			continue;
		}
		const auto* report = std::get_if<crash_report>(&it->message);
		const auto* update = std::get_if<block_update>(&it->message);
		const request_block* known = nullptr == update ? nullptr : m_blocked.known(update->block.request);
		const bool outdated = nullptr != known && known->number > update->block.number;
		if (nullptr != report)
		{
			send_to_counting_nodes(*report, report->request);
		}
		else if (!outdated)
		{
			send(it->message, it->addresses);
		}
		it->next = now + k_first_repeat * k_repeat_factor;
		--it->left;
		it = it->left <= 0 || outdated ? m_repeats.erase(it) : std::next(it);
	}
}

void crash_guard::tick()
{
	const steady_time now = m_clock.steady();
	expire_trials(); // The timer stops while the VM is suspended, and covers only the trial that was
	                 // requested last.
	send_repeats();
	retry_writes();
	m_observed.tick(now);
	m_counted.tick(now);
	for (const request_fingerprint& forgotten : m_blocked.tick(now))
	{
		if (m_fleet.responsible_for(forgotten.content).first.ip.empty())
		{
			m_write({forgotten, false});
		}
	}
}
} // namespace larkrack
