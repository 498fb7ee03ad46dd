// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The answer that ends a caller's request. Each way to make one states what its status promises: a refusal
/// needs the proof that the request has not run, and no other answer can have a status that promises it.
///
/// Owns the response. No state beside it.
#pragma once

#include "entry_node/caller_session_p.h"
#include "steering/not_run_proof_p.h"

#include "larkrack/outcome.h"

namespace larkrack
{
/// Statuses of refusals: the request has not run and never will.
enum class refusal_status : unsigned
{
	too_many_requests = 429,
	unavailable = 503,
};

/// Statuses of this node's own answers that promise nothing.
enum class failure_status : unsigned
{
	unauthorized = 401,
	not_found = 404,
	bad_gateway = 502,
	gateway_timeout = 504,
};

/// Answer to one request.
class final_answer
{
public:
	/// @param[in] _retry_after_s Value of Retry-After, seconds.
	static final_answer refuse(
	    const not_run_proof& _proof, refusal_status _status, double _retry_after_s, reason _why);
	/// An answer of this node that promises nothing.
	static final_answer fail(failure_status _status, outcome _end, reason _why);
	/// Passes on the answer of a backend server, with an end as sure as the one that it has there.
	/// @param[in] _repeat If the request must not run twice, a status that promises that it has not run
	/// becomes 502 without the backend server's headers and body, whatever let it come this far.
	static final_answer forward(caller_response&& _response, response_framing _framing, repeat_rule _repeat);

	unsigned status() const
	{
		return m_response.result_int();
	}
	outcome end() const
	{
		return m_end;
	}
	reason why() const
	{
		return m_why;
	}
	/// @returns By what a refusal is known to be true; nothing for other answers.
	const std::optional<not_run_evidence>& evidence() const
	{
		return m_evidence;
	}
	response_framing framing() const
	{
		return m_framing;
	}
	caller_response take_response()
	{
		return std::move(m_response);
	}

private:
	final_answer(caller_response&& _response, outcome _end, reason _why)
	    : m_response(std::move(_response)), m_end(_end), m_why(_why)
	{
	}

	caller_response m_response;
	response_framing m_framing = response_framing::by_length;
	outcome m_end;
	reason m_why;
	std::optional<not_run_evidence> m_evidence;
};
} // namespace larkrack
