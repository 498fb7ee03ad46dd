// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Idempotency keys that one entry VM remembers: each key runs at most once in this life of the process.
///
/// Decides: whether a try with a key runs, waits for the try in flight, gets the kept answer, or is refused
/// because the table is full. A key is never evicted to make room: it could then run twice.
/// Owns: the answers of finished keys until their grant expires, and the list of tries that wait. It is in
/// memory only and lost with the process; a later life answers `unknown` (carrier checks the grant's life).
/// Relies on: carrier for exactly one finish after each verdict `run`, and for refusing expired grants.
/// Units: steady time in microseconds; limit in keys (k_keys), kept bodies in bytes (k_kept_body).
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
/// Answer that is kept for further tries of the same key.
struct kept_response
{
	outcome result = outcome::unknown;
	reason why = reason::none;
	int status = 0;
	std::string backend;
	std::string content_type;
	std::string body;
	bool body_kept = false; ///< False when the body was too large to keep.
};
using kept_ptr = std::shared_ptr<const kept_response>;

/// What the table says to a try.
struct key_verdict
{
	enum class what
	{
		run,  ///< The first try: run it, then call finish.
		wait, ///< Another try is in flight: the callback will be called with its answer.
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
	/// @param[in] _forget_at Time from which its grant has expired, so that the key is refused anyway.
	/// @param[in] _on_finish Called with the answer when the verdict is wait.
	key_verdict begin(const std::string& _key, steady_time _forget_at,
	    std::function<void(const kept_ptr&)> _on_finish, steady_time _now);
	/// Ends the first try and calls those who wait. An answer of not_run forgets the key: it may run later.
	void finish(const std::string& _key, const kept_response& _answer);
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
	std::multimap<steady_time, std::string> m_by_time; ///< Finished keys by the time they are forgotten.
};
} // namespace larkrack
