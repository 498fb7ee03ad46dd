// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/answer_verdict_p.h"

namespace larkrack
{
namespace
{
bool belongs_to_request(const answer_marks& _marks, bool _has_id)
{
	return answer_id::own == _marks.id || (answer_id::none == _marks.id && !_has_id);
}

bool is_success(unsigned _status)
{
	return 200 <= _status && _status < 300;
}

/// @returns Whether a backend server may give that status to a request that it does not run.
bool is_rejection_status(unsigned _status)
{
	switch (static_cast<rejection_status>(_status))
	{
	case rejection_status::bad_request:
	case rejection_status::misdirected_request:
	case rejection_status::too_many_requests:
	case rejection_status::service_unavailable:
		return true;
	default:
		return false;
	}
}
} // namespace

std::optional<rejection_proof> rejection_proof::of_answer(const answer_marks& _marks, bool _has_id)
{
	const bool wrong_server =
	    rejection_status::misdirected_request == static_cast<rejection_status>(_marks.status);
	const bool stated = _marks.not_run || (wrong_server && !_marks.has_signature);
	const bool proven = belongs_to_request(_marks, _has_id) && is_rejection_status(_marks.status) && stated;
	return proven ? std::optional<rejection_proof>(rejection_proof()) : std::nullopt;
}

answer_verdict judge_answer(const answer_marks& _marks, bool _has_id, repeat_rule _repeat)
{
	if (!belongs_to_request(_marks, _has_id))
	{
		return answer_verdict::foreign;
	}
	if (rejection_proof::of_answer(_marks, _has_id))
	{
		return answer_verdict::rejected;
	}
	const bool false_promise = is_promise(_marks.status) && repeat_rule::at_most_once == _repeat;
	const bool is_signed = _marks.has_signature && !_marks.odd_signature;
	const bool unsigned_success = is_success(_marks.status) && !is_signed;
	return _marks.not_run || false_promise || unsigned_success ? answer_verdict::inconclusive
	                                                           : answer_verdict::answered;
}
} // namespace larkrack
