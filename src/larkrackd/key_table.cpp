// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/key_table_p.h"

namespace larkrack
{
void key_table::forget(steady_time _now)
{
	while (!m_by_time.empty() && m_by_time.begin()->first <= _now)
	{
		const auto it = m_entries.find(m_by_time.begin()->second);
		m_by_time.erase(m_by_time.begin());
		// Only finished keys stand in m_by_time; one that runs again since then stays until it ends.
		if (m_entries.end() != it && it->second.answer && it->second.forget_at <= _now)
		{
			m_entries.erase(it);
		}
	}
}

key_verdict key_table::begin(const std::string& _key, steady_time _forget_at,
    std::function<void(const kept_ptr&)> _on_finish, steady_time _now)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	forget(_now);
	const auto it = m_entries.find(_key);
	if (m_entries.end() != it && it->second.answer)
	{
		return {key_verdict::what::kept, it->second.answer};
	}
	if (m_entries.end() != it)
	{
		it->second.waiting.push_back(std::move(_on_finish));
		return {key_verdict::what::wait, nullptr};
	}
	if (m_limit <= m_entries.size())
	{
		return {key_verdict::what::full, nullptr};
	}
	m_entries[_key].forget_at = _forget_at;
	return {key_verdict::what::run, nullptr};
}

void key_table::finish(const std::string& _key, const kept_response& _answer)
{
	std::vector<std::function<void(const kept_ptr&)>> waiting;
	const auto answer = std::make_shared<const kept_response>(_answer);
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		const auto it = m_entries.find(_key);
		if (m_entries.end() == it)
		{
			// Finished before with not_run, which forgot the key and told those who waited.
			return;
		}
		waiting = std::move(it->second.waiting);
		if (outcome::not_run == _answer.result)
		{
			m_entries.erase(it);
		}
		else
		{
			it->second.waiting.clear();
			it->second.answer = answer;
			m_by_time.emplace(it->second.forget_at, _key);
		}
	}
	for (const auto& tell : waiting)
	{
		tell(answer);
	}
}

std::size_t key_table::size() const
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	return m_entries.size();
}
} // namespace larkrack
