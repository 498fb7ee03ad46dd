// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/path_monitor_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Maximum number of failed backend servers that are kept by failure domain.
constexpr std::size_t k_max_failed_servers = 8;
} // namespace

void response_silence::on_response(steady_time _now, steady_time::duration _taken)
{
	const auto move = [](steady_time::duration& _mean, steady_time::duration _latest)
	{
		_mean = std::chrono::duration_cast<steady_time::duration>(
		    k_gap_weight * _latest + (1.0 - k_gap_weight) * _mean);
	};
	move(m_mean_gap, std::min<steady_time::duration>(_now - m_waiting_since, k_max_gap));
	move(m_mean_time, _taken);
	m_last_response = _now;
	m_waiting_since = _now;
}

void response_silence::on_first_request(steady_time _now)
{
	m_waiting_since = _now;
}

steady_time::duration response_silence::limit() const
{
	const auto usual = std::chrono::duration_cast<steady_time::duration>(k_silent_gaps * m_mean_gap);
	const auto most = std::max<steady_time::duration>(k_max_silence, k_silent_times * m_mean_time);
	return std::clamp<steady_time::duration>(usual, k_min_silence, most);
}

bool response_silence::silent(steady_time _now) const
{
	return _now - m_waiting_since > limit();
}

bool response_silence::unresponsive(steady_time _now) const
{
	const steady_time::duration least =
	    std::max<steady_time::duration>(k_min_unresponsive, k_unresponsive_times * m_mean_time);
	return _now - m_waiting_since > std::max<steady_time::duration>(k_unresponsive_factor * limit(), least);
}

void overdue_requests::on_start(const path_request& _request)
{
	m_in_flight.insert(_request.overdue_at);
}

void overdue_requests::on_end(const path_request& _request, steady_time _now)
{
	const auto found = m_in_flight.find(_request.overdue_at);
	if (m_in_flight.end() == found)
	{
		return;
	}
	m_in_flight.erase(found);
	const bool given_up = !_request.answered && _now >= _request.overdue_at;
	m_ended += given_up ? 1 : 0;
}

bool overdue_requests::enough(steady_time _now) const
{
	int count = m_ended;
	for (auto it = m_in_flight.begin(); m_in_flight.end() != it && *it <= _now && count < k_min_unanswered;
	     ++it)
	{
		++count;
	}
	return count >= k_min_unanswered;
}

path_request path_monitor::on_exchange_start(const domain_name& _domain, const request_kind& _kind,
    steady_time::duration _until_deadline, steady_time _now)
{
	path_request request{_domain, _kind, _now, _now + m_times.overdue_after(_kind, _until_deadline)};
	domain_path& path = m_paths[_domain];
	if (0 == path.in_flight++)
	{
		path.responses.on_first_request(_now);
		path.overdue.clear_ended();
	}
	if (0 == m_in_flight++)
	{
		m_all_responses.on_first_request(_now);
		m_all_overdue.clear_ended();
	}
	path.overdue.on_start(request);
	m_all_overdue.on_start(request);
	return request;
}

void path_monitor::on_exchange_end(const path_request& _request, steady_time _now)
{
	domain_path& path = m_paths[_request.domain];
	--path.in_flight;
	--m_in_flight;
	path.overdue.on_end(_request, _now);
	m_all_overdue.on_end(_request, _now);
}

void path_monitor::on_response(path_request& _request, bool _ran, steady_time _now)
{
	const steady_time::duration taken = _now - _request.sent_at;
	domain_path& path = m_paths[_request.domain];
	_request.answered = true;
	if (_ran)
	{
		m_times.add(_request.kind, taken);
	}
	path.responses.on_response(_now, taken);
	path.overdue.clear_ended();
	path.unresponsive = false;
	m_all_responses.on_response(_now, taken);
	m_all_overdue.clear_ended();
	m_all_unresponsive = false;
}

void path_monitor::on_connected(const domain_name& _domain, steady_time _now)
{
	domain_path& path = m_paths[_domain];
	path.last_connected_at = _now;
	path.failing_since = {};
	path.failed.clear();
	path.broken = false;
	m_broken_since_connected.clear();
	m_cut_off = false;
}

void path_monitor::on_connect_failed(const domain_name& _domain, std::uint32_t _server, steady_time _now)
{
	domain_path& path = m_paths[_domain];
	if (path.failed.empty())
	{
		path.failing_since = _now;
	}
	if (path.failed.size() < k_max_failed_servers)
	{
		path.failed.insert(_server);
	}
}

void path_monitor::on_check_started(const domain_name& _domain, steady_time _now)
{
	domain_path& path = m_paths[_domain];
	path.checking = true;
	path.last_check_at = _now;
}

void path_monitor::on_check_passed(const domain_name& _domain, steady_time _now)
{
	m_paths[_domain].checking = false;
	on_connected(_domain, _now);
}

void path_monitor::on_check_failed(const domain_name& _domain, const std::vector<std::uint32_t>& _servers,
    std::size_t _in_domain, steady_time _now)
{
	for (const std::uint32_t server : _servers)
	{
		on_connect_failed(_domain, server, _now);
	}
	domain_path& path = m_paths[_domain];
	path.checking = false;
	if (path.failed.empty() || path.failed.size() < std::min(k_failures_to_break, _in_domain))
	{
		return;
	}
	path.broken = true;
	m_broken_since_connected.insert(_domain);
	if (!m_cut_off && m_broken_since_connected.size() >= k_domains_to_break)
	{
		m_cut_off = true;
		m_cut_off_since = _now;
	}
}

void path_monitor::tick(steady_time _now)
{
	const auto lost =
	    [_now](int _in_flight, const response_silence& _responses, const overdue_requests& _overdue)
	{
		return _in_flight >= k_min_unanswered && _responses.unresponsive(_now) && _overdue.enough(_now);
	};
	m_all_unresponsive = m_all_unresponsive || lost(m_in_flight, m_all_responses, m_all_overdue);
	for (auto& [domain, path] : m_paths)
	{
		path.unresponsive = path.unresponsive || lost(path.in_flight, path.responses, path.overdue);
	}
}

steady_time::duration path_monitor::trial_interval(const domain_name& _domain) const
{
	const domain_path* path = find(_domain);
	const response_silence& responses = nullptr == path ? m_all_responses : path->responses;
	return std::max<steady_time::duration>(k_path_trial_interval, k_silent_times * responses.mean_time());
}

bool path_monitor::take_trial(const domain_name& _domain, steady_time _now)
{
	steady_time& last = m_all_unresponsive ? m_last_trial_at : m_paths[_domain].last_trial_at;
	if (!unresponsive(_domain) || _now - last < trial_interval(_domain))
	{
		return false;
	}
	last = _now;
	return true;
}

const path_monitor::domain_path* path_monitor::find(const domain_name& _domain) const
{
	const auto it = m_paths.find(_domain);
	return m_paths.end() == it ? nullptr : &it->second;
}

bool path_monitor::broken(const domain_name& _domain) const
{
	const domain_path* path = find(_domain);
	return m_cut_off || (nullptr != path && path->broken) || unresponsive(_domain);
}

bool path_monitor::unresponsive(const domain_name& _domain) const
{
	const domain_path* path = find(_domain);
	return m_all_unresponsive || (nullptr != path && path->unresponsive);
}

bool path_monitor::suspected(const domain_name& _domain) const
{
	const domain_path* path = find(_domain);
	return nullptr != path && !path->broken && !path->failed.empty();
}

bool path_monitor::open_connections_work(const domain_name& _domain, steady_time _now) const
{
	const domain_path* path = find(_domain);
	if (nullptr == path || unresponsive(_domain))
	{
		return false;
	}
	const steady_time failing_since = path->failed.empty() ? m_cut_off_since : path->failing_since;
	const steady_time last = path->responses.last_response();
	return last > failing_since && _now - last < k_open_connection_proof;
}

bool path_monitor::check_is_due(const domain_path& _path, steady_time _now) const
{
	const steady_time::duration since_check = _now - _path.last_check_at;
	if (_path.checking || since_check < k_check_interval)
	{
		return false;
	}
	if (m_cut_off || !_path.failed.empty())
	{
		return true;
	}
	// A silence that a check has shown to be none of the path is checked again after the usual time.
	const auto unanswered = [_now, since_check](const response_silence& _responses)
	{
		return _responses.silent(_now) && since_check > _responses.limit();
	};
	return _path.in_flight > 0 && (unanswered(m_all_responses) || unanswered(_path.responses));
}

std::vector<domain_name> path_monitor::due_checks(steady_time _now) const
{
	std::vector<domain_name> due;
	for (const auto& [domain, path] : m_paths)
	{
		if (check_is_due(path, _now))
		{
			due.push_back(domain);
		}
	}
	return due;
}

const std::set<std::uint32_t>& path_monitor::failed_servers(const domain_name& _domain) const
{
	static const std::set<std::uint32_t> s_none;
	const domain_path* path = find(_domain);
	return nullptr == path ? s_none : path->failed;
}

std::optional<steady_time> path_monitor::last_contact(const domain_name& _domain) const
{
	const domain_path* path = find(_domain);
	if (nullptr == path || broken(_domain))
	{
		return std::nullopt;
	}
	const steady_time last = std::max(path->last_connected_at, path->responses.last_response());
	return steady_time{} == last ? std::nullopt : std::make_optional(last);
}

steady_time path_monitor::last_response(const domain_name& _domain) const
{
	const domain_path* path = find(_domain);
	return nullptr == path ? steady_time{} : path->responses.last_response();
}

std::vector<domain_name> path_monitor::troubled() const
{
	std::vector<domain_name> names;
	for (const auto& [domain, path] : m_paths)
	{
		if (cut_off() || path.unresponsive || !path.failed.empty())
		{
			names.push_back(domain);
		}
	}
	return names;
}

bool path_monitor::any_broken() const
{
	return cut_off() || std::any_of(m_paths.begin(), m_paths.end(),
	                        [](const auto& _entry)
	                        {
		                        return _entry.second.broken || _entry.second.unresponsive;
	                        });
}
} // namespace larkrack
