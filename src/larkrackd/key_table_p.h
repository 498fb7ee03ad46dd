// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Table of idempotency keys of one entry VM: each key runs at most once in this incarnation of the process.
///
/// Decides: whether an attempt with a key runs, waits for the attempt in flight, gets the stored answer, or
/// is refused because the table is full. A key is never evicted to make room, because it could then run
/// twice.
/// Owns: the answers of finished keys until their grants expire, and the attempts that wait for an answer.
/// The table is in memory only and lost with the process; a later incarnation answers `unknown` (carrier
/// checks the grant's incarnation).
/// Relies on: carrier to call finish() exactly once after each `run`, and to refuse expired grants.
/// Units: steady time in microseconds; limit in keys (k_max_keys), stored bodies in bytes (k_max_kept_body).
/// Reasons: docs/DESIGN.md (At most once, without a store).
#pragma once

#include "larkrack/config.h"

#include "base/clock_p.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace larkrack
{
/// Answer that is stored for further attempts with the same key.
struct kept_response
{
	outcome result = outcome::unknown;
	reason why = reason::none;
	int status = 0;
	std::string backend;
	std::string content_type;
	std::string body;
	bool body_kept = false; ///< False when the body exceeded k_max_kept_body and was not stored.
};
using kept_answer_ptr = std::shared_ptr<const kept_response>;

/// Decision of the table about an attempt.
struct key_decision
{
	enum class action
	{
		run,  ///< First attempt: run the request, then call finish().
		wait, ///< Another attempt is in flight: the callback will get its answer.
		kept, ///< The answer is stored.
		full, ///< The table is full: nothing was run.
	};
	action next = action::run;
	kept_answer_ptr answer;
};

/// Table of keys in flight and finished keys. Thread-safe.
class key_table : public service_base
{
public:
	explicit key_table(std::size_t _limit = k_max_keys) : m_limit(_limit)
	{
	}
	const char* name() const override
	{
		return "key_table";
	}
	/// Starts an attempt with a key.
	/// @param[in] _forget_at Time from which the grant of the key has expired, so that the key is refused
	/// anyway.
	/// @param[in] _on_finish Called with the answer if the decision is `wait`.
	key_decision begin(const std::string& _key, steady_time _forget_at,
	    std::function<void(const kept_answer_ptr&)> _on_finish, steady_time _now);
	/// Ends the attempt that ran and passes its answer to the attempts that wait. After an answer of
	/// outcome::not_run the key is removed, so that it may run later.
	void finish(const std::string& _key, const kept_response& _answer);
	/// @returns Number of keys in the table.
	std::size_t size() const;

private:
	struct entry
	{
		kept_answer_ptr answer;
		steady_time forget_at{};
		std::vector<std::function<void(const kept_answer_ptr&)>> waiting;
	};
	void remove_expired(steady_time _now);

	mutable std::mutex m_mutex;
	std::size_t m_limit;
	std::unordered_map<std::string, entry> m_entries;
	std::multimap<steady_time, std::string> m_by_forget_time; ///< Finished keys by time of removal.
};
} // namespace larkrack
