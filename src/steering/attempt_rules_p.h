// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What follows each end of an attempt: send the request again, pass an answer on, or end it.
///
/// Decides, when one attempt at a backend server has ended, whether another one may follow and with what the
/// caller is answered if none does. Inputs: how the attempt ended, whether the route's requests may run more
/// than once, how many attempts were made before, and the deadline.
///
/// | end of the attempt | route | counts as | may have run | another attempt | reason otherwise |
/// | --- | --- | --- | --- | --- | --- |
/// | served (status below 500) | any | reached | - | none: the answer is passed on | none |
/// | failed (status 500 and up) | at most once | reached | - | none: the answer is passed on | none |
/// | failed | repeatable | reached | yes, answer is kept | from the retry budget | none |
/// | not_run (load shedding) | any | reached | no | from the retry budget | shed |
/// | not_sent | any | unsent | no | free up to k_unsent_limit, then from the retry budget | unreachable |
/// | lost | repeatable | reached | yes | from the retry budget | lost_answer |
/// | lost | at most once | reached | yes | none | lost_answer |
///
/// When no attempt follows (none is permitted, the budget is spent, or no backend server has room), the
/// request ends with the first of: a kept answer of a backend server, passed on as served; "unknown" with
/// status 502, if it may have run; else it is refused with 503 and a time to come back (request_times_p.h).
/// An at-most-once request is never sent again once a backend server may have run it.
///
/// Other ways: none was measured. Refusing a lost request as "not run" is ruled out, since it may have run.
///
/// Relies on upstream_exchange to tell "no byte was sent" from "lost", and on retry_budget_p.h to count the
/// retries that need the budget.
#pragma once

#include "base/clock_p.h"
#include "steering/routing_table_p.h"

#include "larkrack/outcome.h"

namespace larkrack
{
/// Attempts without a connection that one request makes, and up to which a new one is free. More reach a
/// backend server behind several broken ones, and take time from the deadline (each up to the connect
/// timeout). Not measured.
constexpr int k_unsent_limit = 3;
/// Statuses of answers that this node makes itself. Fixed by HTTP.
constexpr unsigned k_status_unknown = 502;          ///< Bad gateway: it may have run.
constexpr unsigned k_status_refused = 503;          ///< Service unavailable: not run, come back later.
constexpr unsigned k_status_unknown_deadline = 504; ///< Gateway timeout: it may have run.
/// Lowest status that counts as a failure of the backend server. Fixed by HTTP.
constexpr unsigned k_first_failure_status = 500;

/// How one attempt ended.
enum class attempt_end
{
	served,   ///< A whole answer with a status below 500.
	failed,   ///< A whole answer with a status of 500 or more.
	not_run,  ///< The backend server said that it did not run the request.
	not_sent, ///< No byte of the request was sent.
	lost,     ///< It was sent, at least in part, and no whole answer came.
};

/// @returns Whether an answer of this status is one of a failed backend server.
attempt_end end_of_answer(unsigned _status);

/// What pays for another attempt.
enum class resend_price
{
	never,            ///< None may follow.
	retry_budget,     ///< The retry budget.
	free_when_unsent, ///< Nothing while few attempts ended unsent, then the retry budget.
};

/// One row of the table above.
struct attempt_rule
{
	bool pass_answer_on; ///< Its answer is final.
	bool keep_answer;    ///< Its answer is passed on if no other attempt does better.
	bool reached;        ///< A backend server got it, or at least a part of it.
	bool may_have_run;
	resend_price price;
	reason why; ///< Reason told when nothing better follows.
};

/// @returns The row for an end.
const attempt_rule& rule_after(attempt_end _end, repeat_rule _repeat);

/// Attempts of one request so far.
struct attempt_history
{
	int reached = 0; ///< Attempts that reached a backend server.
	int unsent = 0;  ///< Attempts that did not.
	bool may_have_run = false;
	bool answer_kept = false;

	/// Counts one more.
	void count(const attempt_rule& _rule);
};

/// Whether another attempt may be made, and why not.
enum class resend
{
	free,           ///< Nobody took it so far.
	within_budget,  ///< If the retry budget has one left.
	attempts_spent, ///< The route permits no more.
	deadline_over,
	unsent_spent, ///< Too many attempts without a connection.
};

/// @returns Whether an attempt without cost may follow at once.
bool may_resend_free(const attempt_rule& _rule, const attempt_history& _history);
/// @param[in] _max_attempts Attempts that the route permits.
bool attempts_spent(const attempt_history& _history, int _max_attempts);
/// @param[in] _max_attempts Attempts that the route permits.
resend may_resend(
    const attempt_history& _history, int _max_attempts, steady_time _now, steady_time _deadline);

/// How a request ends that gets no answer of its last attempt.
struct final_answer
{
	bool kept_answer = false;       ///< The kept answer of a backend server is passed on.
	outcome end = outcome::not_run; ///< Not run: the caller gets a time to come back.
	reason why = reason::none;
	unsigned status = k_status_refused; ///< Not used for a kept answer.
};

/// @param[in] _why Reason of the last attempt's rule.
final_answer answer_without_resend(const attempt_history& _history, reason _why);
/// @param[in] _sent Whether a byte of the running attempt was sent.
final_answer answer_at_deadline(const attempt_history& _history, bool _sent);
} // namespace larkrack
