// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What the head of a backend server's answer says about the request that it answers, and its form in the
/// log. No state.
///
/// Relies on its caller for the names of the headers.
#pragma once

#include <string>

namespace larkrack
{
/// Statuses by which a request may be called not run. Fixed by HTTP.
enum class rejection_status : unsigned
{
	bad_request = 400,
	request_timeout = 408,
	misdirected_request = 421,
	too_many_requests = 429,
	service_unavailable = 503,
};

/// @returns Whether a response with that status promises its caller that the request has not run and never
/// will: 408, 421, 429 and 503.
bool is_promise(unsigned _status);

/// The request id that an answer carries.
enum class answer_id
{
	none,
	own,   ///< That of the request.
	other, ///< That of another request.
};

/// Marks in the head of an answer.
struct answer_marks
{
	unsigned status = 0;
	answer_id id = answer_id::none;
	bool not_run = false;       ///< It has the header of a request that was not run.
	bool has_signature = false; ///< It has the signature of the backend server that ran the request.
	bool whole_request = false; ///< The request had been written whole before the answer came.
	bool odd_signature = false; ///< The signature is empty, or stands there more than once.
};

/// @returns The marks as one word for the log, such as "503+id+not_run"; "early" stands for an answer that
/// came before the request was written whole.
std::string to_string(const answer_marks& _marks);
} // namespace larkrack
