// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Memory of one entry VM for non-repeatable requests: each key runs at most once in this life of the
/// process.
#pragma once

#include "larkrack/config.h"

#include "clock_p.h"

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
/// Answer that is kept for further tries of the same key.
struct kept_answer
{
	outcome result = outcome::unknown;
	reason why = reason::none;
	int status = 0;
	std::string backend;
	std::string content_type;
	std::string body;
	bool body_kept = false; ///< False when the body was too large to keep.
};
using kept_ptr = std::shared_ptr<const kept_answer>;

/// What the table says to a try.
struct key_verdict
{
	enum class what
	{
		run,  ///< The first try: run it, then call finish.
		wait, ///< Another try is in flight: the callback will be called.
		kept, ///< The answer is known.
		full, ///< No room for another key: nothing was run.
	};
	what does = what::run;
	kept_ptr answer;
};

/// Thread-safe.
class key_table : public service_base
{
public:
	explicit key_table(std::size_t _limit = k_keys) : m_limit(_limit)
	{
	}
	const char* name() const override
	{
		return "key_table";
	}
	/// Asks whether a try may run.
	/// @param[in] _forget_at Time from which the key is refused anyway.
	/// @param[in] _on_finish Called with the answer when the verdict is wait.
	key_verdict begin(const std::string& _key, steady_time _forget_at,
	    std::function<void(const kept_ptr&)> _on_finish, steady_time _now);
	/// Ends the first try. An answer of not_run forgets the key: it may be tried again.
	void finish(const std::string& _key, const kept_answer& _answer);
	/// @returns Number of keys that are remembered.
	std::size_t size() const;

private:
	struct entry
	{
		kept_ptr answer;
		steady_time forget_at{};
		std::vector<std::function<void(const kept_ptr&)>> waiting;
	};
	void forget(steady_time _now);

	mutable std::mutex m_mutex;
	std::size_t m_limit;
	std::unordered_map<std::string, entry> m_entries;
	std::multimap<steady_time, std::string> m_by_time;
};
} // namespace larkrack
