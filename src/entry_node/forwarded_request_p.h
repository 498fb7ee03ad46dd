// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// One request of a caller, from its arrival to its final response: its states, timers, input and
/// output. The decisions on the way are made by src/steering; whether the request is admitted, waits or is
/// refused for lack of slots is decided by the admission of its service (admission_p.h).
///
/// Owns the request, its timers and the running exchange. Relies on its owner (forwarder) to keep it alive
/// until it ends, and to call try_send() again while it is queued.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | initial | no configuration, no route, node stopping, key refused, quota used up | ended |
/// | initial | admission refuses the request | ended |
/// | initial | no backend server of the service is usable, and no path is in doubt | ended |
/// | initial | a backend server can take the request | sent |
/// | initial | no backend server can take the request | queued |
/// | initial, queued | blocked, since it crashed backend servers | ended, or initial if granted a trial |
/// | initial, queued | the chosen backend server has a limit, and a token may come | awaiting_token |
/// | awaiting_token | token granted | sent |
/// | awaiting_token | no token | as initial, without that backend server |
/// | queued | tried again, and a backend server can take the request | sent |
/// | queued | the wait is over, the deadline passed, or the caller disconnected | ended |
/// | sent | the attempt ended and another attempt follows | sent |
/// | sent | response received, no further attempt, deadline passed, or caller disconnected | ended |
#pragma once

#include "entry_node/final_answer_p.h"
#include "entry_node/forwarder_p.h"
#include "steering/attempt_rules_p.h"
#include "steering/retry_budget_p.h"

namespace larkrack
{
/// A request from the moment it was read until its response was handed to the session, or its caller
/// disconnected.
class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
public:
	forwarded_request(request_context& _context, request_owner_base& _owner, request_number _number,
	    std::shared_ptr<caller_session> _session, caller_request&& _request);

	/// Finds the route and makes the first attempt.
	void start();
	/// Sends the request to a backend server if one can take it.
	/// @returns False when the request has to wait for a slot; true when it was sent, waits for a token or
	/// was refused.
	bool try_send();
	/// @returns Whether the request waits for a response over a direct connection to a failure domain, and
	/// may be sent another way.
	bool can_abandon(const domain_name& _domain) const;
	/// Ends the running exchange as not sent or lost.
	void abandon_exchange();
	/// @returns Whether it waits for anything but the answer of a backend server or relay.
	bool waits_to_be_sent() const
	{
		return state::ended != m_state && !under_way();
	}
	/// Ends a request that a stopping node cannot finish in time: its caller goes to another node.
	void refuse_as_stopping();
	bool is_of(const route& _route) const
	{
		return nullptr != m_route && m_route->name == _route.name;
	}
	/// @returns Time since it arrived.
	steady_time::duration age(steady_time _now) const
	{
		return _now - m_arrived_at;
	}

private:
	enum class state
	{
		initial,        ///< Not routed yet, or waiting for the customer's quota or for a trial.
		queued,         ///< The request waits in the queue of its service for a slot.
		awaiting_token, ///< Waiting for a token of a backend server that announced a limit.
		sent,           ///< An attempt is running, or its result is being handled.
		ended,          ///< The caller has its response, or disconnected.
	};

	/// Trial of a blocked request: it is let through alone, to one backend server, and not retried.
	enum class trial_state
	{
		none,    ///< No trial was granted.
		granted, ///< Granted, and no backend server has received the request yet.
		used,    ///< A backend server received the request.
	};

	/// Finds the customer by the API key, and the home regions that the request must stay in.
	/// @returns The reason for refusing the request, or nothing when it may proceed.
	std::optional<reason> check_customer();
	/// @returns Whether the newest configuration still accepts the request's key.
	bool key_still_valid() const;
	void refuse_key();
	/// Asks for a token of the customer's quota; on_quota() continues.
	void ask_quota();
	void on_quota(quota_answer _answer);
	/// Returns the token of the customer's quota if no backend server was tried.
	void give_token_back();
	/// @returns Whether the node is stopping and cannot finish the request in time.
	bool too_late_to_stop() const;
	/// Selects service and region, then makes the first attempt or queues the request.
	void route_and_send();
	/// Sets service, affinity key and region, and starts the deadline timer.
	void select_service_and_region();
	/// Asks for admission if it was not asked yet, then sends the request or queues it.
	void send_or_enqueue();
	/// Asks the admission of the service, and refuses the request if it decides so.
	admission_verdict admit();
	/// @returns The request as admission sees it.
	admission_request make_admission_request() const;
	/// @returns Now, or any time when the admission does not use it.
	steady_time admission_time() const;
	/// Keeps what a decision tells for the log.
	void note_decision(const admission_decision& _decision);
	/// @returns Whether the log and the metrics tell the decisions of admission.
	bool reports_admission() const;
	/// @returns Time spent in the queue so far.
	steady_time::duration waited_time() const;
	/// Adds the decisions of admission to the line about the end of the request.
	void describe_admission(log_line& _line) const;
	/// Refuses the request as admission decided.
	void refuse_by(const admission_decision& _decision);
	/// Records for admission how an attempt ended.
	void note_attempt_end(attempt_end _end, double _service_time_s);
	/// Tells admission how the request ended.
	void report_end();
	/// @returns Hashes that stay the same when this request is repeated; computed on first use.
	const request_fingerprint& fingerprint();
	std::uint64_t head_hash() const;
	/// Refuses the request, or asks for a trial, if it is blocked because it crashed backend servers.
	/// @returns Whether the request is blocked.
	bool handle_if_blocked();
	void on_trial_decided(bool _granted);
	void refuse_blocked();
	/// Reports the end of an exchange to the crash guard.
	void report_exchange(const backend_ptr& _backend, const exchange_result& _result);
	/// Returns a granted trial if no backend server received the request.
	void return_trial();
	/// Checks key, deadline and block again after a wait.
	/// @returns Whether the request must not be sent: it was refused, has ended, or asks for a trial.
	bool refuse_after_wait();
	affinity_key key_of_request() const;
	/// @returns Seconds left until the objective of the route, or until the deadline if there is none.
	double time_left_s(steady_time _now) const;
	/// Records what is expected of a backend server when the request is sent to it.
	void note_expected(const backend_server& _backend);
	/// Updates work times and rejections by the end of an exchange.
	void note_exchange_end(const backend_server& _backend, const exchange_result& _result);
	backend_choice choose_backend_in(const region_name& _region, service_steering& _steering);
	/// Records why a region has no backend server for the request.
	void note_no_backend(const backend_choice& _choice);
	/// @returns Whether all candidates rest (Retry-After) and the first rest ends after the longest wait in
	/// the queue.
	bool rest_exceeds_wait() const;
	/// Waits for a token of the backend server's limit.
	void ask_for_token(const backend_ptr& _backend);
	void on_token(const backend_ptr& _backend, quota_answer _answer);
	/// @returns Time that the backend server is told to have.
	std::chrono::milliseconds time_for_backend(steady_time _now) const;
	void send_to(const backend_ptr& _backend);
	void join_queue();
	/// Starts the timer that ends the wait in the queue.
	void wait_until_over(steady_time::duration _wait);
	void leave_queue();

	/// Ends the request if its deadline has passed by the clock. The timer alone is not enough: it fires late
	/// after the VM was suspended.
	/// @returns Whether the request has ended.
	bool end_if_deadline_over();
	void on_wait_over();
	void on_deadline();
	void on_caller_left();
	void on_result(exchange_result&& _result);
	/// Acts on the rule for the end of an attempt: responds, retries or refuses.
	void apply_rule(const attempt_rule& _rule, exchange_result&& _result);
	/// Queues a request that has reached no backend server while a path is in doubt.
	/// @returns Whether it was queued.
	bool wait_for_paths();
	/// Charges another attempt to the retry budget unless the attempt is free.
	/// @returns Whether another attempt may be made.
	bool take_retry();

	void refuse(reason _reason);
	/// Refuses the request, unless a backend server may have run it or may still run it.
	void refuse(reason _reason, double _retry_after_s, refusal_status _status = refusal_status::unavailable);
	/// @param[in] _default_s Retry-After unless all backend servers rest, seconds.
	/// @returns Retry-After for a refusal, seconds.
	double refusal_retry_after_s(double _default_s) const;
	void refuse_over_quota();
	void finish_with(const final_response& _end);
	void respond(final_answer&& _answer);
	/// Reports the end of an attempt that reached the backend server to the rollouts.
	void report_attempt(const backend_server& _backend, attempt_end _end);
	void log_failed_attempt(const backend_server& _backend, const exchange_result& _result);
	/// @returns Whether an attempt that may have sent a byte has not ended.
	bool under_way() const
	{
		return m_exchange && m_exchange->sent();
	}
	/// @returns Whether a response with that status promises the caller of an at-most-once request that it
	/// has not run and never will.
	bool promises_not_run(unsigned _status) const;
	/// Adds to the line about the end of the request by what this node knows that it has not run.
	void describe_promise(log_line& _line, std::optional<not_run_evidence> _evidence) const;
	/// @param[in] _evidence Of a refusal.
	void log_end(
	    unsigned _status, outcome _outcome, reason _reason, std::optional<not_run_evidence> _evidence);
	void release();

	request_context& m_context;
	request_owner_base& m_owner;
	request_number m_number;
	std::shared_ptr<caller_session> m_session;
	caller_request m_request; ///< Its body is m_body.
	body_ptr m_body;          ///< Null: there is none.
	std::string m_request_id;
	std::shared_ptr<const routing_table> m_routes; ///< Routes in force at arrival; keep m_route alive.
	const route* m_route = nullptr;
	const customer* m_customer = nullptr; ///< Owned by m_routes; null: no customer.
	home_regions m_home_regions;
	service_name m_service;
	affinity_key m_key;
	version_rule m_versions;       ///< Versions that it may go to during a rollout.
	region_choice m_region_choice; ///< Planned region; after an overflow, the region used.
	steady_time m_arrived_at{};
	steady_time::duration m_stalled_before; ///< Time for which the event loop had stood still at the arrival.
	steady_time m_sent_at{};
	steady_time m_deadline{};
	steady_time m_token_wait_since{}; ///< First wait for a backend server's token; epoch: none.
	asio::steady_timer m_deadline_timer;
	asio::steady_timer m_wait_timer;
	std::shared_ptr<exchange_base> m_exchange; ///< Null between two attempts.
	/// Failure response of a backend server, passed on if no later attempt succeeds.
	std::optional<caller_response> m_kept_response;
	response_framing m_kept_framing = response_framing::by_length;
	std::vector<backend_id> m_tried;
	std::vector<backend_id> m_unsent; ///< Those of m_tried that received nothing.
	std::string m_relay;              ///< Address of the node that forwarded the last attempt; empty: none.
	/// Backend servers that rejected the request once although they reported free slots.
	std::vector<backend_id> m_rejected_with_free_slots;
	backend_choice_reason m_choice_reason = backend_choice_reason::none_usable; ///< Of the last choice.
	work_sample m_expected;                  ///< State of the backend server when the request was sent.
	std::vector<backend_id> m_without_token; ///< Backend servers whose limit had no token left.
	attempt_history m_history;
	unsigned m_attempts = 0;                    ///< Sent so far, or about to be.
	std::optional<retry_counts> m_denied_retry; ///< Counts with which the retry budget denied a retry.
	admission_base* m_admission = nullptr;      ///< Of m_service; null: not asked yet.
	admission_request m_admission_request;      ///< Set once m_admission is.
	admission_end m_admission_end;              ///< What attempts have told so far.
	admission_decision m_decision;              ///< The latest one.
	steady_time m_queued_at{};                  ///< Begin of the wait in the queue.
	steady_time::duration m_waited{0};          ///< Time of the waits in the queue that have ended.
	state m_state = state::initial;
	std::optional<request_fingerprint> m_fingerprint;
	trial_state m_trial = trial_state::none;
	bool m_has_token = false;        ///< Holds a token of the customer's quota.
	bool m_none_usable = false;      ///< Last try_send() found no usable backend server.
	bool m_only_limited = false;     ///< Last try_send() failed only because limits were used up.
	bool m_only_resting = false;     ///< Last try_send() failed only because backend servers rest.
	steady_time m_first_return_at{}; ///< Earliest end of these rests; epoch: none rests.
};
} // namespace larkrack
