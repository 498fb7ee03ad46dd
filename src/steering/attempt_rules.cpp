// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "attempt_rules_p.h"

namespace larkrack
{
namespace
{
// Rows: pass the answer on, keep it, reached a backend server, may have run, price of another attempt,
// reason.
constexpr attempt_rule k_answered{true, false, true, false, resend_price::never, reason::none};
constexpr attempt_rule k_failed{false, true, true, true, resend_price::retry_budget, reason::none};
constexpr attempt_rule k_not_run{false, false, true, false, resend_price::retry_budget, reason::shed};
constexpr attempt_rule k_not_sent{
    false, false, false, false, resend_price::free_when_unsent, reason::unreachable};
constexpr attempt_rule k_lost{false, false, true, true, resend_price::retry_budget, reason::lost_answer};
constexpr attempt_rule k_lost_for_good{false, false, true, true, resend_price::never, reason::lost_answer};
} // namespace

attempt_end end_of_answer(unsigned _status)
{
	return _status >= k_first_failure_status ? attempt_end::failed : attempt_end::served;
}

const attempt_rule& rule_after(attempt_end _end, repeat_rule _repeat)
{
	const bool repeatable = repeat_rule::repeatable == _repeat;
	switch (_end)
	{
	case attempt_end::served:
		return k_answered;
	case attempt_end::failed:
		return repeatable ? k_failed : k_answered;
	case attempt_end::not_run:
		return k_not_run;
	case attempt_end::not_sent:
		return k_not_sent;
	case attempt_end::lost:
		break;
	}
	return repeatable ? k_lost : k_lost_for_good;
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

resend may_resend(const attempt_history& _history, int _max_attempts, steady_time _now, steady_time _deadline)
{
	if (_history.reached >= _max_attempts)
	{
		return resend::attempts_spent;
	}
	if (_now >= _deadline)
	{
		return resend::deadline_over;
	}
	if (_history.reached > 0)
	{
		return resend::within_budget;
	}
	return _history.unsent < k_unsent_limit ? resend::free : resend::unsent_spent;
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
