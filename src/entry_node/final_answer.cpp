// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/final_answer_p.h"

#include "entry_node/header_rules_p.h"
#include "steering/answer_marks_p.h"

#include <cstdio>

namespace larkrack
{
namespace
{
caller_response make_response(unsigned _status)
{
	return caller_response(static_cast<http::status>(_status), 11);
}
} // namespace

final_answer final_answer::refuse(
    const not_run_proof& _proof, refusal_status _status, double _retry_after_s, reason _why)
{
	caller_response response = make_response(static_cast<unsigned>(_status));
	char text[16];
	std::snprintf(text, sizeof(text), "%.2f", _retry_after_s);
	response.set(http::field::retry_after, text);
	final_answer answer(std::move(response), outcome::not_run, _why);
	answer.m_evidence = _proof.evidence();
	return answer;
}

final_answer final_answer::fail(failure_status _status, outcome _end, reason _why)
{
	return {make_response(static_cast<unsigned>(_status)), _end, _why};
}

final_answer final_answer::forward(
    caller_response&& _response, response_framing _framing, repeat_rule _repeat)
{
	if (repeat_rule::at_most_once == _repeat && is_promise(_response.result_int()))
	{
		return fail(failure_status::bad_gateway, outcome::unknown, reason::lost_answer);
	}
	strip_hop_by_hop(_response);
	final_answer answer(std::move(_response), outcome::served, reason::none);
	answer.m_framing = _framing;
	return answer;
}
} // namespace larkrack
