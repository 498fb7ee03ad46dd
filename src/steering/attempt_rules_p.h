// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Retry rules: what follows the end of an attempt at a backend server.
///
/// Decides, when an attempt has ended, whether the request may be sent again, and which response the caller
/// gets otherwise. Inputs: how the attempt ended, whether the route's requests may run more than once, the
/// number of earlier attempts, and the deadline.
///
/// | end of the attempt | route | counts as | may have run | another attempt | reason otherwise |
/// | --- | --- | --- | --- | --- | --- |
/// | served (status below 500) | any | reached | - | none: the response is forwarded | none |
/// | failed (status 500 and up) | at most once | reached | - | none: the response is forwarded | none |
/// | failed | repeatable | reached | yes, response is kept | from the retry budget | none |
/// | not_run (load shedding) | any | reached | no | from the retry budget | shed |
/// | not_sent | any | unsent | no | free up to k_max_unsent_attempts, then retry budget | unreachable |
/// | lost | repeatable | reached | yes | from the retry budget | lost_answer |
/// | lost | at most once | reached | yes | none | lost_answer |
///
/// A relay that is not reached or refuses (relay_table_p.h) is no attempt: another one is free up to
/// k_max_relay_failures.
///
/// When no attempt follows (none is permitted, the budget is exhausted, or no backend server has a free
/// slot), the request ends with the first that applies: a kept response of a backend server, forwarded as
/// served; "unknown" with status 502, if the request may have run; otherwise it is refused with 503 and a
/// retry time (request_times_p.h). An at-most-once request is never sent again once a backend server may have
/// run it, and a lost request is never reported as "not run", since it may have run.
///
/// Relies on upstream_exchange to distinguish "no byte was sent" from "lost", and on retry_budget_p.h to
/// count the retries that need the budget.
#pragma once

#include "base/clock_p.h"
#include "steering/routing_table_p.h"

#include "larkrack/outcome.h"

namespace larkrack
{
/// Attempts of one request that may fail to connect while further attempts are free. A larger value gets a
/// request past more unreachable backend servers, but each attempt can use up a connect timeout of the
/// deadline.
constexpr int k_max_unsent_attempts = 3;
/// Relays of one request that may fail while further ones are free.
constexpr int k_max_relay_failures = 3;
/// Statuses of responses that this node generates itself. Fixed by HTTP.
constexpr unsigned k_status_unknown = 502;          ///< Bad gateway: the request may have run.
constexpr unsigned k_status_refused = 503;          ///< Service unavailable: not run, may be retried later.
constexpr unsigned k_status_unknown_deadline = 504; ///< Gateway timeout: the request may have run.
/// Lowest status that counts as a failure of the backend server. Fixed by HTTP.
constexpr unsigned k_first_failure_status = 500;

/// How one attempt ended.
enum class attempt_end
{
	served,   ///< A complete response with a status below 500.
	failed,   ///< A complete response with a status of 500 or more.
	not_run,  ///< The backend server reported that it did not run the request.
	not_sent, ///< No byte of the request was sent.
	lost,     ///< At least part of the request was sent, and no complete response arrived.
};

/// @returns attempt_end::failed or attempt_end::served, by the status of a complete response.
attempt_end attempt_end_of_status(unsigned _status);

/// What a retry is charged to.
enum class retry_allowance
{
	never,             ///< No retry may follow.
	retry_budget,      ///< The retry budget.
	free_while_unsent, ///< Free while fewer than k_max_unsent_attempts attempts ended unsent, then the retry
	                   ///< budget.
};

/// One row of the table above.
struct attempt_rule
{
	bool forward_response; ///< The response is final.
	bool keep_response;    ///< The response is forwarded unless a later attempt gets a better one.
	bool reached;          ///< A backend server received at least part of the request.
	bool may_have_run;
	retry_allowance allowance;
	reason why; ///< Reason reported to the caller if no later attempt succeeds.
};

/// @returns The row of the table for an attempt's end.
const attempt_rule& attempt_rule_for(attempt_end _end, repeat_rule _repeat);

/// Attempts of one request so far.
struct attempt_history
{
	int reached = 0;        ///< Attempts that reached a backend server.
	int unsent = 0;         ///< Attempts that reached none.
	int relay_failures = 0; ///< Relays that were not reached or refused; not counted as attempts.
	bool may_have_run = false;
	bool response_kept = false;

	/// Counts one more attempt.
	void count(const attempt_rule& _rule);
};

/// Whether another attempt may be made, and why not.
enum class retry_permission
{
	free,               ///< No attempt has reached a backend server so far.
	needs_budget,       ///< Permitted if the retry budget allows it.
	attempts_exhausted, ///< The route permits no further attempt.
	deadline_exceeded,
	unsent_exhausted, ///< Too many attempts without a connection.
};

/// @returns Whether a retry that needs no budget may follow at once.
bool may_retry_free(const attempt_rule& _rule, const attempt_history& _history);
/// @param[in] _max_attempts Maximum number of attempts that the route permits.
bool attempts_exhausted(const attempt_history& _history, int _max_attempts);
/// @param[in] _max_attempts Maximum number of attempts that the route permits.
retry_permission may_retry(
    const attempt_history& _history, int _max_attempts, steady_time _now, steady_time _deadline);

/// How a request ends when its last attempt has no response to forward.
struct final_response
{
	bool kept_response = false;     ///< The kept response of a backend server is forwarded.
	outcome end = outcome::not_run; ///< Not run: the caller gets a retry time.
	reason why = reason::none;
	unsigned status = k_status_refused; ///< Not used for a kept response.
};

/// @param[in] _why Reason of the last attempt's rule.
final_response response_without_retry(const attempt_history& _history, reason _why);
/// @param[in] _why Why it would have been refused.
/// @returns How a request ends that cannot be refused, since nothing proves that it has not run.
final_response response_without_proof(const attempt_history& _history, reason _why);
/// @param[in] _sent Whether a byte of the current attempt was sent.
final_response response_at_deadline(const attempt_history& _history, bool _sent);
} // namespace larkrack
