// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/attempt_rules_p.h"

namespace larkrack
{
attempt_end attempt_end_of_status(unsigned _status)
{
	return _status >= k_first_failure_status ? attempt_end::failed : attempt_end::served;
}

const attempt_rule& attempt_rule_for(attempt_end _end, repeat_rule _repeat)
{
	using allowance = retry_allowance;
	// forward_response, keep_response, reached a backend server, may have run, allowance for a retry, reason.
	static constexpr attempt_rule s_answered{true, false, true, false, allowance::never, reason::none};
	static constexpr attempt_rule s_failed{false, true, true, true, allowance::retry_budget, reason::none};
	static constexpr attempt_rule s_not_run{false, false, true, false, allowance::retry_budget, reason::shed};
	static constexpr attempt_rule s_not_sent{
	    false, false, false, false, allowance::free_while_unsent, reason::unreachable};
	static constexpr attempt_rule s_lost{
	    false, false, true, true, allowance::retry_budget, reason::lost_answer};
	static constexpr attempt_rule s_lost_at_most_once{
	    false, false, true, true, allowance::never, reason::lost_answer};
	const bool repeatable = repeat_rule::repeatable == _repeat;
	switch (_end)
	{
	case attempt_end::served:
		return s_answered;
	case attempt_end::failed:
		return repeatable ? s_failed : s_answered;
	case attempt_end::not_run:
		return s_not_run;
	case attempt_end::not_sent:
		return s_not_sent;
	case attempt_end::lost:
		break;
	}
	return repeatable ? s_lost : s_lost_at_most_once;
}

void attempt_history::count(const attempt_rule& _rule)
{
	++(_rule.reached ? reached : unsent);
	may_have_run = may_have_run || _rule.may_have_run;
	response_kept = response_kept || _rule.keep_response;
}

bool may_retry_free(const attempt_rule& _rule, const attempt_history& _history)
{
	return retry_allowance::free_while_unsent == _rule.allowance && _history.unsent < k_max_unsent_attempts &&
	       _history.relay_failures < k_max_relay_failures;
}

bool attempts_exhausted(const attempt_history& _history, int _max_attempts)
{
	return _history.reached >= _max_attempts;
}

retry_permission may_retry(
    const attempt_history& _history, int _max_attempts, steady_time _now, steady_time _deadline)
{
	if (attempts_exhausted(_history, _max_attempts))
	{
		return retry_permission::attempts_exhausted;
	}
	if (_now >= _deadline)
	{
		return retry_permission::deadline_exceeded;
	}
	if (_history.reached > 0)
	{
		return retry_permission::needs_budget;
	}
	return _history.unsent < k_max_unsent_attempts ? retry_permission::free
	                                               : retry_permission::unsent_exhausted;
}

final_response response_without_retry(const attempt_history& _history, reason _why)
{
	if (_history.response_kept || _history.may_have_run)
	{
		return response_without_proof(_history, _why);
	}
	return {false, outcome::not_run, _why, k_status_refused};
}

final_response response_without_proof(const attempt_history& _history, reason _why)
{
	if (_history.response_kept)
	{
		return {true, outcome::served, reason::none, 0};
	}
	return {false, outcome::unknown, _why, k_status_unknown};
}

final_response response_at_deadline(const attempt_history& _history, bool _sent)
{
	if (_sent || _history.may_have_run)
	{
		return {false, outcome::unknown, reason::deadline, k_status_unknown_deadline};
	}
	return {false, outcome::not_run, reason::deadline, k_status_refused};
}
} // namespace larkrack
