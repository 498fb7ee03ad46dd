// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/key_table_p.h"

namespace larkrack
{
void key_table::remove_expired(steady_time _now)
{
	while (!m_by_forget_time.empty() && m_by_forget_time.begin()->first <= _now)
	{
		const auto it = m_entries.find(m_by_forget_time.begin()->second);
		m_by_forget_time.erase(m_by_forget_time.begin());
		// m_by_forget_time contains finished keys only. A key that has been started again since stays until
		// it finishes.
		if (m_entries.end() != it && it->second.answer && it->second.forget_at <= _now)
		{
			m_entries.erase(it);
		}
	}
}

key_decision key_table::begin(const std::string& _key, steady_time _forget_at,
    std::function<void(const kept_answer_ptr&)> _on_finish, steady_time _now)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	remove_expired(_now);
	const auto it = m_entries.find(_key);
	if (m_entries.end() != it && it->second.answer)
	{
		return {key_decision::action::kept, it->second.answer};
	}
	if (m_entries.end() != it)
	{
		it->second.waiting.push_back(std::move(_on_finish));
		return {key_decision::action::wait, nullptr};
	}
	if (m_limit <= m_entries.size())
	{
		return {key_decision::action::full, nullptr};
	}
	m_entries[_key].forget_at = _forget_at;
	return {key_decision::action::run, nullptr};
}

void key_table::finish(const std::string& _key, const kept_response& _answer)
{
	std::vector<std::function<void(const kept_answer_ptr&)>> waiting;
	const auto answer = std::make_shared<const kept_response>(_answer);
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		const auto it = m_entries.find(_key);
		if (m_entries.end() == it)
		{
			// The key was finished before with outcome::not_run, which removed it and answered the waiting
			// attempts.
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
			m_by_forget_time.emplace(it->second.forget_at, _key);
		}
	}
	for (const auto& callback : waiting)
	{
		callback(answer);
	}
}

std::size_t key_table::size() const
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	return m_entries.size();
}
} // namespace larkrack
