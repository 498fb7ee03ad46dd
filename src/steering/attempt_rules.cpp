// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/attempt_rules_p.h"

namespace larkrack
{
attempt_end end_of_answer(unsigned _status)
{
	return _status >= k_first_failure_status ? attempt_end::failed : attempt_end::served;
}

const attempt_rule& rule_after(attempt_end _end, repeat_rule _repeat)
{
	using price = resend_price;
	// forward_response, keep_response, reached a backend server, may have run, allowance for a retry, reason.
	static constexpr attempt_rule s_answered{true, false, true, false, price::never, reason::none};
	static constexpr attempt_rule s_failed{false, true, true, true, price::retry_budget, reason::none};
	static constexpr attempt_rule s_not_run{false, false, true, false, price::retry_budget, reason::shed};
	static constexpr attempt_rule s_not_sent{
	    false, false, false, false, price::free_when_unsent, reason::unreachable};
	static constexpr attempt_rule s_lost{false, false, true, true, price::retry_budget, reason::lost_answer};
	static constexpr attempt_rule s_lost_at_most_once{
	    false, false, true, true, price::never, reason::lost_answer};
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
	answer_kept = answer_kept || _rule.keep_answer;
}

bool may_resend_free(const attempt_rule& _rule, const attempt_history& _history)
{
	return resend_price::free_when_unsent == _rule.price && _history.unsent < k_unsent_limit;
}

bool attempts_spent(const attempt_history& _history, int _max_attempts)
{
	return _history.reached >= _max_attempts;
}

resend may_resend(const attempt_history& _history, int _max_attempts, steady_time _now, steady_time _deadline)
{
	if (attempts_spent(_history, _max_attempts))
	{
		return resend::attempts_spent;
	}
	if (_now >= _deadline)
	{
		return resend::deadline_exceeded;
	}
	if (_history.reached > 0)
	{
		return resend::within_budget;
	}
	return _history.unsent < k_unsent_limit ? resend::free : resend::unsent_exhausted;
}

final_answer answer_without_resend(const attempt_history& _history, reason _why)
{
	if (_history.answer_kept)
	{
		return {true, outcome::served, reason::none, 0};
	}
	if (_history.may_have_run)
	{
		return {false, outcome::unknown, _why, k_status_unknown};
	}
	return {false, outcome::not_run, _why, k_status_refused};
}

final_answer answer_at_deadline(const attempt_history& _history, bool _sent)
{
	if (_sent || _history.may_have_run)
	{
		return {false, outcome::unknown, reason::deadline, k_status_unknown_deadline};
	}
	return {false, outcome::not_run, reason::deadline, k_status_refused};
}
} // namespace larkrack
