// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/crash_guard_p.h"

#include "steering/rendezvous_p.h"

#include <set>

namespace larkrack
{
namespace
{
/// Maximum time that a request waits for the grant of a trial: a round trip to another region takes 70 ms.
constexpr std::chrono::milliseconds k_trial_timeout{150};
constexpr int k_block_repeats = 2; ///< Repetitions of messages to all nodes.
/// Time after which a block that was not read back from the store is written again.
constexpr std::chrono::seconds k_write_retry{2};
/// Maximum number of blocks that are written again in one tick.
constexpr int k_max_writes = 2;
/// Maximum number of blocks that are in the store or waiting to be written; further ones are distributed by
/// datagrams only.
constexpr std::size_t k_max_stored = 512;
/// Time for which the versions of a service are cached.
constexpr std::chrono::seconds k_versions_kept{1};
} // namespace

block_decision crash_guard::decide(const request_fingerprint& _request, const service_name& _service)
{
	if (nullptr == m_blocked.find(_request) || was_served_recently(_request))
	{
		return block_decision::open;
	}
	const block_decision decision = m_blocked.decide(_request, versions_of(_service), m_clock.steady());
	m_refused += block_decision::refuse == decision ? 1 : 0;
	return decision;
}

void crash_guard::request_trial(
    const request_fingerprint& _request, const service_name& _service, trial_handler _decided)
{
	const responsible_node counting_node = m_fleet.responsible_for(_request.content).first;
	const std::uint32_t versions = versions_of(_service);
	if (counting_node.ip.empty())
	{
		_decided(grant_trial(_request, versions).has_value());
		return;
	}
	const auto [it, is_new] = m_pending_trials.try_emplace(_request);
	if (!is_new)
	{
		_decided(false); // At most one trial of a request is pending at a time.
		return;
	}
	it->second = {std::move(_decided), m_clock.steady() + k_trial_timeout};
	m_trial_timer.expires_after(k_trial_timeout);
	m_trial_timer.async_wait(
	    [this](boost::system::error_code _error)
	    {
		    if (!_error)
		    {
			    expire_trials();
		    }
	    });
	send(trial_request{_request, versions}, {counting_node.ip});
}

std::optional<request_block> crash_guard::grant_trial(
    const request_fingerprint& _request, std::uint32_t _versions)
{
	const std::optional<request_block> granted = m_blocked.grant_trial(_request, _versions, m_clock.steady());
	if (granted)
	{
		announce(*granted);
	}
	return granted;
}

void crash_guard::finish_trial(const request_fingerprint& _request, bool _granted)
{
	const auto it = m_pending_trials.find(_request);
	if (m_pending_trials.end() == it)
	{
		return; // The request does not wait any more; the trial counts as used.
	}
	const trial_handler decided = std::move(it->second.decided);
	m_pending_trials.erase(it);
	m_refused += _granted ? 0 : 1;
	decided(_granted);
}

void crash_guard::on_trial_unused(const request_fingerprint& _request)
{
	const responsible_node counting_node = m_fleet.responsible_for(_request.content).first;
	if (!counting_node.ip.empty())
	{
		send(trial_unused{_request}, {counting_node.ip});
		return;
	}
	if (const auto returned = m_blocked.return_trial(_request, m_clock.steady()))
	{
		announce(*returned);
	}
}

void crash_guard::block(const request_fingerprint& _request)
{
	request_block new_block;
	new_block.request = _request;
	const request_block* previous = m_blocked.known(_request);
	new_block.number = nullptr == previous ? 1 : previous->number + 1;
	announce(new_block);
}

void crash_guard::announce(const request_block& _block)
{
	m_blocked.take(_block, m_clock.steady()); // No change for a granted trial, which is recorded already.
	on_block_changed(_block);
	send_to_region(_block);
	const std::uint64_t place = _block.request.content;
	std::set<std::string> receivers;
	for (const region_name& region : m_backends.regions())
	{
		const responsible_nodes holders = m_fleet.responsible_in_region(region, place);
		if (region != m_region)
		{
			receivers.insert({holders.first.ip, holders.backup.ip});
		}
	}
	receivers.erase(""); // No node of the region is reachable.
	const block_update update{_block, true};
	const std::vector<std::string> addresses(receivers.begin(), receivers.end());
	send(update, addresses);
	repeat(update, addresses, k_block_repeats);
	if (m_unwritten.size() < k_max_stored && m_blocked.size() < k_max_stored)
	{
		m_unwritten[_block.request] = {_block.number, m_clock.steady() + k_write_retry};
		m_write(_block);
	}
	contest_if_served_recently(_block); // Last, because it may clear the request, and that update comes next.
}

bool crash_guard::apply_block(const request_block& _block)
{
	const bool is_new = m_blocked.take(_block, m_clock.steady());
	if (is_new)
	{
		on_block_changed(_block);
		contest_if_served_recently(_block);
	}
	return is_new;
}

void crash_guard::on_block_changed(const request_block& _block)
{
	const char* state = !_block.blocked ? "cleared" : _block.trials > 0 ? "looked_at" : "blocked";
	m_log.write(log_line(event::request_blocked)
	                .text("request", hex_of(_block.request))
	                .text("state", state)
	                .number("change", _block.number)
	                .number("looks", _block.trials));
	if (!_block.blocked)
	{
		m_observed.on_served(_block.request);
		m_counted.on_served(_block.request);
	}
}

void crash_guard::contest_if_served_recently(const request_block& _block)
{
	if (_block.blocked && was_served_recently(_block.request))
	{
		send_to_counting_nodes(success_report{_block.request}, _block.request);
	}
}

void crash_guard::send_to_region(const request_block& _block)
{
	const block_update update{_block, false};
	const std::vector<std::string> addresses = m_fleet.region_addresses();
	send(update, addresses);
	repeat(update, addresses, k_block_repeats);
}

void crash_guard::on_block(const request_block& _block)
{
	const auto it = m_unwritten.find(_block.request);
	apply_block(_block);
	// Where this node keeps a greater state than the store has, its write is repeated.
	const request_block* known = m_blocked.known(_block.request);
	if (m_unwritten.end() != it && (nullptr == known || !(_block < *known)))
	{
		m_unwritten.erase(it);
	}
}

void crash_guard::on_block_removed(const request_fingerprint& _request)
{
	const auto it = m_unwritten.find(_request);
	const request_block* known = m_blocked.known(_request);
	if (m_unwritten.end() != it && nullptr != known && known->blocked)
	{
		return; // The store deleted an older state; the write of the newer one is pending.
	}
	m_unwritten.erase(_request);
	m_blocked.remove(_request);
	m_observed.on_served(_request);
	m_counted.on_served(_request);
}

void crash_guard::retry_writes()
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
		if (now >= it->second.next && written < k_max_writes)
		{
			++written;
			it->second.next = now + k_write_retry;
			m_write(*known);
		}
		++it;
	}
}

void crash_guard::expire_trials()
{
	const steady_time now = m_clock.steady();
	std::vector<request_fingerprint> expired;
	for (const auto& [request, trial] : m_pending_trials)
	{
		if (now >= trial.until)
		{
			expired.push_back(request);
		}
	}
	for (const request_fingerprint& request : expired)
	{
		finish_trial(request, false);
	}
}

std::uint32_t crash_guard::versions_of(const service_name& _service)
{
	cached_versions& cached = m_versions[_service];
	const steady_time now = m_clock.steady();
	if (steady_time{} != cached.at && now - cached.at < k_versions_kept)
	{
		return cached.hash;
	}
	std::set<std::string> versions;
	for (const backend_state* backend : m_backends.of_service(_service))
	{
		versions.insert(backend->registered.version.text);
	}
	std::string joined;
	for (const std::string& version : versions)
	{
		joined += version + "\n";
	}
	cached = {short_hash(joined), now};
	return cached.hash;
}
} // namespace larkrack
