// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/crash_guard_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace larkrack
{
namespace
{
/// Time for which a request waits to be let through: a question to another region and back takes 70.
constexpr std::chrono::milliseconds k_longest_question{150};
/// Time from a message to the first time that it is sent again; each further one takes four times as long.
constexpr std::chrono::milliseconds k_first_repeat{400};
constexpr int k_repeat_factor = 4;  ///< See above.
constexpr int k_news_repeats = 2;   ///< Of what all nodes are told.
constexpr int k_report_repeats = 1; ///< Of what those that count are told.
/// Messages that are sent again later, at most: more requests end servers than can be told.
constexpr std::size_t k_most_repeated = 2000;
/// Backend servers that are probed at once, at most.
constexpr std::size_t k_most_probes = 64;
/// Requests of one end that are told of, at most.
constexpr std::size_t k_most_told_requests = 64;
/// Requests of one end that the log names, at most.
constexpr std::size_t k_most_logged_requests = 16;
/// Time after which a block that the store does not show is written again.
constexpr std::chrono::seconds k_write_again{2};
/// Blocks that are written again at one tick, at most.
constexpr int k_most_written = 2;
/// Blocks that stand in the store or are to, at most: more are told by datagrams alone.
constexpr std::size_t k_most_stored = 512;
/// Time for which the versions of a service are taken as known.
constexpr std::chrono::seconds k_versions_kept{1};

std::string hex_of(const request_fingerprint& _request)
{
	char text[32];
	std::snprintf(text, sizeof(text), "%016llx-%08x", static_cast<unsigned long long>(_request.content),
	    _request.caller);
	return text;
}

/// @returns Whether a request has no body, so that it is known by its head alone.
bool has_no_body(const request_fingerprint& _request)
{
	return _request.head == _request.content;
}

/// @returns Place of a request of one caller among those that were served lately.
std::uint64_t served_place(const request_fingerprint& _request)
{
	return request_content_hash(
	    _request.content, {reinterpret_cast<const char*>(&_request.caller), sizeof(_request.caller)});
}
} // namespace

crash_guard::crash_guard(asio::io_context& _context, const clock_base& _clock, const fleet_view_base& _fleet,
    const backend_registry& _backends, const region_name& _region, entry_log& _log, sender _send,
    writer _write)
    : m_context(_context), m_clock(_clock), m_fleet(_fleet), m_backends(_backends), m_region(_region),
      m_log(_log), m_send(std::move(_send)), m_write(std::move(_write)), m_question_timer(_context)
{
}

crash_guard::~crash_guard()
{
	for (auto& [life, doubtful] : m_doubtful)
	{
		doubtful.probe->cancel();
	}
}

bool crash_guard::concerns(std::uint64_t _head) const
{
	return m_blocked.may_match(_head) || (!m_seen.empty() && m_seen.suspects(_head));
}

block_decision crash_guard::decide(const request_fingerprint& _request, const service_name& _service)
{
	if (nullptr == m_blocked.find(_request) || is_popular(_request))
	{
		return block_decision::open;
	}
	const block_decision decision = m_blocked.decide(_request, versions_of(_service), m_clock.steady());
	m_refused += block_decision::refuse == decision ? 1 : 0;
	return decision;
}

void crash_guard::ask_for_look(
    const request_fingerprint& _request, const service_name& _service, look_handler _decided)
{
	const quota_holder counter = m_fleet.holders_of(_request.content).first;
	const std::uint32_t versions = versions_of(_service);
	if (counter.ip.empty())
	{
		_decided(grant_look(_request, versions).has_value());
		return;
	}
	const auto [it, is_new] = m_questions.try_emplace(_request);
	if (!is_new)
	{
		_decided(false); // One question at a time, and one look.
		return;
	}
	it->second = {std::move(_decided), m_clock.steady() + k_longest_question};
	m_question_timer.expires_after(k_longest_question);
	m_question_timer.async_wait(
	    [this](boost::system::error_code _error)
	    {
		    if (!_error)
		    {
			    wake();
		    }
	    });
	send(look_request{_request, versions}, {counter.ip});
}

std::optional<request_block> crash_guard::grant_look(
    const request_fingerprint& _request, std::uint32_t _versions)
{
	const std::optional<request_block> granted = m_blocked.grant_look(_request, _versions, m_clock.steady());
	if (granted)
	{
		announce(*granted);
	}
	return granted;
}

void crash_guard::answer_look(const request_fingerprint& _request, bool _granted)
{
	const auto it = m_questions.find(_request);
	if (m_questions.end() == it)
	{
		return; // The request does not wait any more; the look counts as made.
	}
	const look_handler decided = std::move(it->second.decided);
	m_questions.erase(it);
	m_refused += _granted ? 0 : 1;
	decided(_granted);
}

void crash_guard::on_look_returned(const request_fingerprint& _request)
{
	const quota_holder counter = m_fleet.holders_of(_request.content).first;
	if (!counter.ip.empty())
	{
		send(look_returned{_request}, {counter.ip});
		return;
	}
	if (const auto returned = m_blocked.return_look(_request, m_clock.steady()))
	{
		announce(*returned);
	}
}

void crash_guard::on_connection_broken(const backend_ptr& _backend, const request_fingerprint& _request)
{
	const std::uint32_t life = _backend->id_hash;
	if (m_doubtful.end() == m_doubtful.find(life) && m_doubtful.size() >= k_most_probes)
	{
		return;
	}
	doubtful_end& doubtful = m_doubtful[life];
	if (doubtful.requests.size() < k_most_told_requests)
	{
		doubtful.requests.push_back(_request);
	}
	if (doubtful.probe)
	{
		return;
	}
	doubtful.backend = _backend;
	doubtful.probe = std::make_shared<crash_probe>(m_context, _backend,
	    [this, life](bool _ended)
	    {
		    on_probed(life, _ended);
	    });
	doubtful.probe->start();
}

void crash_guard::on_probed(std::uint32_t _life, bool _ended)
{
	const auto it = m_doubtful.find(_life);
	const doubtful_end doubtful = std::move(it->second);
	m_doubtful.erase(it);
	if (!_ended)
	{
		return;
	}
	on_backend_ended(*doubtful.backend, doubtful.requests);
}

void crash_guard::on_backend_ended(
    const backend_server& _backend, const std::vector<request_fingerprint>& _requests)
{
	std::string named;
	for (std::size_t i = 0; i < std::min(_requests.size(), k_most_logged_requests); ++i)
	{
		named += (0 == i ? "" : ",") + hex_of(_requests[i]);
	}
	m_log.write(log_line(event::backend_ended)
	                .text("backend", _backend.registered.id.text)
	                .text("service", _backend.registered.service.text)
	                .number("requests", static_cast<std::int64_t>(_requests.size()))
	                .text("named", named));
	for (const request_fingerprint& request : _requests)
	{
		report_end(_backend.id_hash, request);
	}
}

void crash_guard::report_end(std::uint32_t _life, const request_fingerprint& _request)
{
	if (is_popular(_request))
	{
		return;
	}
	const steady_time now = m_clock.steady();
	const bool caller_only = has_no_body(_request) && m_served.has(_request.content, now);
	m_seen.on_end(_request, {_life, _request.caller, caller_only, now});
	const end_report report{_request, _life, caller_only};
	send_to_counters(report, _request);
	repeat(report, {}, k_report_repeats);
}

bool crash_guard::may_resend(const request_fingerprint& _request) const
{
	const auto doubtful = static_cast<std::size_t>(std::count_if(m_doubtful.begin(), m_doubtful.end(),
	    [&_request](const auto& _one)
	    {
		    const std::vector<request_fingerprint>& requests = _one.second.requests;
		    return requests.end() != std::find(requests.begin(), requests.end(), _request);
	    }));
	return m_seen.ends_of(_request) + doubtful < k_blamed_ends && nullptr == m_blocked.find(_request);
}

bool crash_guard::is_popular(const request_fingerprint& _request) const
{
	return has_no_body(_request) && m_served.has(served_place(_request), m_clock.steady());
}

void crash_guard::on_answered(const request_fingerprint& _request)
{
	if (has_no_body(_request))
	{
		m_served.note(_request.content, m_clock.steady());
		m_served.note(served_place(_request), m_clock.steady());
	}
	if (!concerns(_request.head))
	{
		return;
	}
	const bool suspected = m_seen.ends_of(_request) > 0 || nullptr != m_blocked.find(_request);
	m_seen.on_served(_request);
	if (suspected)
	{
		send_to_counters(served_report{_request}, _request);
	}
}

void crash_guard::count_end(const end_report& _report)
{
	const std::optional<request_fingerprint> blamed = m_counted.on_end(
	    _report.request, {_report.life, _report.request.caller, _report.caller_only, m_clock.steady()});
	if (blamed && nullptr == m_blocked.find(*blamed))
	{
		block(*blamed);
	}
}

void crash_guard::count_served(const served_report& _report)
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

void crash_guard::block(const request_fingerprint& _request)
{
	request_block fresh;
	fresh.request = _request;
	const request_block* before = m_blocked.known(_request);
	fresh.number = nullptr == before ? 1 : before->number + 1;
	announce(fresh);
}

void crash_guard::announce(const request_block& _block)
{
	m_blocked.take(_block, m_clock.steady()); // A look that was granted stands there already.
	on_block_changed(_block);
	tell_region(_block);
	const std::uint64_t place = _block.request.content;
	std::set<std::string> tellers;
	for (const region_name& region : m_backends.regions())
	{
		const quota_holders holders = m_fleet.holders_in(region, place);
		if (region != m_region)
		{
			tellers.insert({holders.first.ip, holders.stand_in.ip});
		}
	}
	tellers.erase(""); // None in sight.
	const block_news news{_block, true};
	const std::vector<std::string> addresses(tellers.begin(), tellers.end());
	send(news, addresses);
	repeat(news, addresses, k_news_repeats);
	if (m_unwritten.size() < k_most_stored && m_blocked.size() < k_most_stored)
	{
		m_unwritten[_block.request] = {_block.number, m_clock.steady() + k_write_again};
		m_write(_block);
	}
	object_if_popular(_block); // Last: the word that it is cleared has to follow.
}

bool crash_guard::take_block(const request_block& _block)
{
	const bool is_new = m_blocked.take(_block, m_clock.steady());
	if (is_new)
	{
		on_block_changed(_block);
		object_if_popular(_block);
	}
	return is_new;
}

void crash_guard::on_block_changed(const request_block& _block)
{
	const char* state = !_block.blocked ? "cleared" : _block.looks > 0 ? "looked_at" : "blocked";
	m_log.write(log_line(event::request_blocked)
	                .text("request", hex_of(_block.request))
	                .text("state", state)
	                .number("change", _block.number)
	                .number("looks", _block.looks));
	if (!_block.blocked)
	{
		m_seen.on_served(_block.request);
		m_counted.on_served(_block.request);
	}
}

void crash_guard::object_if_popular(const request_block& _block)
{
	if (_block.blocked && is_popular(_block.request))
	{
		send_to_counters(served_report{_block.request}, _block.request);
	}
}

void crash_guard::tell_region(const request_block& _block)
{
	const block_news news{_block, false};
	const std::vector<std::string> neighbours = m_fleet.region_addresses();
	send(news, neighbours);
	repeat(news, neighbours, k_news_repeats);
}

void crash_guard::on_block(const request_block& _block)
{
	const auto it = m_unwritten.find(_block.request);
	if (m_unwritten.end() != it && it->second.number <= _block.number)
	{
		m_unwritten.erase(it);
	}
	take_block(_block);
}

void crash_guard::on_block_gone(const request_fingerprint& _request)
{
	const auto it = m_unwritten.find(_request);
	const request_block* known = m_blocked.known(_request);
	if (m_unwritten.end() != it && nullptr != known && known->blocked)
	{
		return; // An older one has gone; the newer one is on its way there.
	}
	m_unwritten.erase(_request);
	m_blocked.remove(_request);
	m_seen.on_served(_request);
	m_counted.on_served(_request);
}

void crash_guard::on_message(const crash_message& _message, const std::string& _sender_ip)
{
	if (const auto* report = std::get_if<end_report>(&_message))
	{
		count_end(*report);
	}
	else if (const auto* served = std::get_if<served_report>(&_message))
	{
		count_served(*served);
	}
	else if (const auto* news = std::get_if<block_news>(&_message))
	{
		if (take_block(news->block) && news->tells_on)
		{
			tell_region(news->block);
		}
	}
	else if (const auto* asked = std::get_if<look_request>(&_message))
	{
		const bool granted = grant_look(asked->request, asked->versions).has_value();
		send(look_answer{asked->request, granted}, {_sender_ip});
	}
	else if (const auto* answer = std::get_if<look_answer>(&_message))
	{
		answer_look(answer->request, answer->granted);
	}
	else if (const auto* returned = std::get_if<look_returned>(&_message))
	{
		if (const auto block = m_blocked.return_look(returned->request, m_clock.steady()))
		{
			announce(*block);
		}
	}
}

void crash_guard::send_to_counters(const crash_message& _message, const request_fingerprint& _request)
{
	const quota_holders counters = m_fleet.holders_of(_request.content);
	for (const quota_holder& counter : {counters.first, counters.stand_in})
	{
		if (0 == counter.name_hash)
		{
			continue;
		}
		if (counter.ip.empty())
		{
			on_message(_message, "");
			continue;
		}
		send(_message, {counter.ip});
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
	const bool to_counters = std::holds_alternative<end_report>(_message);
	if (m_repeated.size() < k_most_repeated && (to_counters || !_addresses.empty()))
	{
		m_repeated.push_back({_message, std::move(_addresses), m_clock.steady() + k_first_repeat, _times});
	}
}

void crash_guard::send_repeated()
{
	const steady_time now = m_clock.steady();
	for (auto it = m_repeated.begin(); it != m_repeated.end();)
	{
		if (now < it->next)
		{
			++it;
			continue;
		}
		const auto* report = std::get_if<end_report>(&it->message);
		const auto* news = std::get_if<block_news>(&it->message);
		const request_block* known = nullptr == news ? nullptr : m_blocked.known(news->block.request);
		const bool outdated = nullptr != known && known->number > news->block.number;
		if (nullptr != report)
		{
			send_to_counters(*report, report->request);
		}
		else if (!outdated)
		{
			send(it->message, it->addresses);
		}
		it->next = now + k_first_repeat * k_repeat_factor;
		--it->left;
		it = it->left <= 0 || outdated ? m_repeated.erase(it) : std::next(it);
	}
}

void crash_guard::write_again()
{
	const steady_time now = m_clock.steady();
	int written = 0;
	for (auto it = m_unwritten.begin(); it != m_unwritten.end();)
	{
		const request_block* known = m_blocked.known(it->first);
		if (nullptr == known)
		{
			it = m_unwritten.erase(it);
			continue;
		}
		if (now >= it->second.next && written < k_most_written)
		{
			++written;
			it->second.next = now + k_write_again;
			m_write(*known);
		}
		++it;
	}
}

void crash_guard::wake()
{
	const steady_time now = m_clock.steady();
	std::vector<request_fingerprint> over;
	for (const auto& [request, question] : m_questions)
	{
		if (now >= question.until)
		{
			over.push_back(request);
		}
	}
	for (const request_fingerprint& request : over)
	{
		answer_look(request, false);
	}
}

void crash_guard::tick()
{
	const steady_time now = m_clock.steady();
	wake(); // The timer stands still while the VM is suspended, and waits for the last question only.
	send_repeated();
	write_again();
	m_seen.tick(now);
	m_counted.tick(now);
	for (const request_fingerprint& forgotten : m_blocked.tick(now))
	{
		if (m_fleet.holders_of(forgotten.content).first.ip.empty())
		{
			m_write({forgotten, false});
		}
	}
}

std::uint32_t crash_guard::versions_of(const service_name& _service)
{
	known_versions& known = m_versions[_service];
	const steady_time now = m_clock.steady();
	if (steady_time{} != known.at && now - known.at < k_versions_kept)
	{
		return known.hash;
	}
	std::set<std::string> versions;
	for (const backend_state* backend : m_backends.of_service(_service))
	{
		versions.insert(backend->registered.version.text);
	}
	std::string all;
	for (const std::string& version : versions)
	{
		all += version + "\n";
	}
	known = {short_hash(all), now};
	return known.hash;
}
} // namespace larkrack
