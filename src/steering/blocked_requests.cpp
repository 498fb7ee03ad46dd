// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/blocked_requests_p.h"

#include <algorithm>
#include <tuple>

namespace larkrack
{
bool operator<(const request_block& _left, const request_block& _right)
{
	const auto rank = [](const request_block& _block)
	{
		return std::make_tuple(_block.number, !_block.blocked, _block.trials, _block.versions);
	};
	return rank(_left) < rank(_right);
}

bool blocked_requests::take(const request_block& _block, steady_time _now)
{
	const auto [it, is_new] = m_entries.try_emplace(_block.request);
	if (!is_new && !(it->second.block < _block))
	{
		return false;
	}
	if (is_new)
	{
		++m_heads[_block.request.head];
	}
	it->second.block = _block;
	it->second.seen_at = _now;
	if (is_new)
	{
		evict_oldest();
	}
	return true;
}

void blocked_requests::remove(const request_fingerprint& _request)
{
	const auto it = m_entries.find(_request);
	if (m_entries.end() != it && it->second.block.blocked)
	{
		forget(it);
	}
}

block_decision blocked_requests::decide(
    const request_fingerprint& _request, std::uint32_t _versions, steady_time _now)
{
	entry* found = find_entry(_request);
	if (nullptr == found)
	{
		return block_decision::open;
	}
	found->seen_at = _now;
	return trial_allowed(found->block, _versions) ? block_decision::may_request_trial
	                                              : block_decision::refuse;
}

std::optional<request_block> blocked_requests::grant_trial(
    const request_fingerprint& _request, std::uint32_t _versions, steady_time _now)
{
	entry* found = find_entry(_request);
	const bool granted =
	    nullptr != found && _now >= found->next_trial && trial_allowed(found->block, _versions);
	if (!granted)
	{
		return std::nullopt;
	}
	++found->block.trials;
	++found->block.number;
	found->block.versions = _versions;
	found->next_trial = _now + k_trial_interval;
	return found->block;
}

std::optional<request_block> blocked_requests::return_trial(
    const request_fingerprint& _request, steady_time _now)
{
	entry* found = find_entry(_request);
	if (nullptr == found || 0 == found->block.trials)
	{
		return std::nullopt;
	}
	--found->block.trials;
	++found->block.number;
	found->next_trial = _now;
	return found->block;
}

const request_block* blocked_requests::find(const request_fingerprint& _request) const
{
	request_fingerprint any = _request;
	any.caller = k_any_caller;
	for (const request_fingerprint& candidate : {_request, any})
	{
		const request_block* block = known(candidate);
		if (nullptr != block && block->blocked)
		{
			return block;
		}
	}
	return nullptr;
}

const request_block* blocked_requests::known(const request_fingerprint& _request) const
{
	const auto it = m_entries.find(_request);
	return m_entries.end() == it ? nullptr : &it->second.block;
}

std::size_t blocked_requests::size() const
{
	return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
	    [](const auto& _entry)
	    {
		    return _entry.second.block.blocked;
	    }));
}

std::vector<request_fingerprint> blocked_requests::tick(steady_time _now)
{
	std::vector<request_fingerprint> forgotten;
	for (auto it = m_entries.begin(); it != m_entries.end();)
	{
		const bool blocked = it->second.block.blocked;
		const std::chrono::minutes kept = blocked ? k_block_retention : k_clear_retention;
		if (_now - it->second.seen_at <= kept)
		{
			++it;
			continue;
		}
		if (blocked)
		{
			forgotten.push_back(it->first);
		}
		it = forget(it);
	}
	return forgotten;
}

blocked_requests::entry* blocked_requests::find_entry(const request_fingerprint& _request)
{
	const request_block* block = find(_request);
	return nullptr == block ? nullptr : &m_entries.find(block->request)->second;
}

bool blocked_requests::trial_allowed(const request_block& _block, std::uint32_t _versions) const
{
	const bool other_versions = 0 == _block.trials || _block.versions != _versions;
	return _block.trials < k_max_trials && other_versions;
}

blocked_requests::entry_map::iterator blocked_requests::forget(entry_map::iterator _entry)
{
	const auto head = m_heads.find(_entry->first.head);
	if (m_heads.end() != head && 0 == --head->second)
	{
		m_heads.erase(head);
	}
	return m_entries.erase(_entry);
}

void blocked_requests::evict_oldest()
{
	if (m_entries.size() <= k_max_blocked)
	{
		return;
	}
	const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
	    [](const auto& _left, const auto& _right)
	    {
		    return _left.second.seen_at < _right.second.seen_at;
	    });
	forget(oldest);
}
} // namespace larkrack
