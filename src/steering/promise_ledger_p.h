// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Ledger of promises: the requests that this node has refused with the promise that they have not run and
/// never will. Checks the promise: a request of the ledger that is sent to a backend server, or that one
/// answers as run, is a breach.
///
/// Inputs: ids of requests that must not run twice. Keeps the newest promises only, in memory of fixed size;
/// an older promise is not checked any more.
///
/// Owns its entries. Relies on ids that callers never use again.
#pragma once

#include "base/clock_p.h"

#include <functional>
#include <string_view>
#include <vector>

namespace larkrack
{
/// How a promise was broken.
enum class promise_breach_kind
{
	sent, ///< The request is sent to a backend server after its refusal.
	ran,  ///< A backend server answers as having run it.
};

/// One broken promise.
struct promise_breach
{
	std::string_view request_id;
	promise_breach_kind kind = promise_breach_kind::sent;
	unsigned status = 0; ///< Status of the refusal.
	steady_time::duration after{0};
};

/// @returns Name in the log.
const char* to_string(promise_breach_kind _kind);

/// Promises of one node.
class promise_ledger
{
public:
	using breach_handler = std::function<void(const promise_breach&)>;

	void set_breach_handler(breach_handler _handler)
	{
		m_handler = std::move(_handler);
	}
	/// Records a refusal with a status that promises that the request has not run and never will.
	void record(std::string_view _request_id, unsigned _status, steady_time _now);
	/// Checks a request that is about to be sent to a backend server.
	void on_sent(std::string_view _request_id, const clock_base& _clock)
	{
		check(_request_id, promise_breach_kind::sent, _clock);
	}
	/// Checks a request that a backend server answers as run.
	void on_ran(std::string_view _request_id, const clock_base& _clock)
	{
		check(_request_id, promise_breach_kind::ran, _clock);
	}
	/// @returns Promises since the start.
	std::uint64_t promises() const
	{
		return m_promises;
	}
	/// @returns Breaches since the start.
	std::uint64_t breaches() const
	{
		return m_breaches;
	}

private:
	struct entry
	{
		std::uint64_t id_hash = 0; ///< 0: unused.
		steady_time at{};
		unsigned status = 0;
	};
	/// @param[in] _clock Read only for a breach.
	void check(std::string_view _request_id, promise_breach_kind _kind, const clock_base& _clock);

	std::vector<entry> m_entries; ///< Empty until the first promise.
	breach_handler m_handler;
	std::uint64_t m_promises = 0;
	std::uint64_t m_breaches = 0;
};
} // namespace larkrack
