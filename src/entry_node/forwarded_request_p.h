// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// One request of a caller on its way to a final answer: its life and its input and output. What is decided
/// on the way stands in src/steering.
///
/// Owns the request, its timers and the running exchange. Relies on the owner (forwarder) to keep it until it
/// ends, and to try it again while it waits.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | fresh | no route, no configuration, node stopping, no customer, quota used up | ended |
/// | fresh | a backend server has room | sent |
/// | fresh | none has | waiting |
/// | fresh, waiting | it is blocked, since backend servers have ended under it | ended, or as fresh once it
/// is let through | | fresh, waiting | the backend server for it names a limit, and a token may come | asking
/// | | asking | a token came | sent | | asking | none came | as fresh, without that backend server | |
/// waiting | tried again, and a backend server has room | sent | | waiting | the wait is over, the deadline
/// passed, or the caller left | ended | | sent | the attempt ended and another one follows | sent | | sent |
/// answered, no other attempt follows, the deadline passed, or the caller left | ended |
#pragma once

#include "entry_node/forwarder_p.h"
#include "steering/attempt_rules_p.h"

namespace larkrack
{
/// Lives from the moment a request was read until its answer was handed over, or its caller left.
class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
public:
	forwarded_request(request_context& _context, request_owner_base& _owner,
	    std::shared_ptr<caller_session> _session, caller_request&& _request);

	/// Finds the route and makes the first attempt.
	void start();
	/// Sends it to a backend server if one has room.
	/// @returns False when it has to wait.
	bool try_send();

private:
	enum class state
	{
		fresh,   ///< Not decided on, or the customer's quota decides.
		waiting, ///< In the queue of its service, for a slot.
		asking,  ///< For a token of a backend server that names a limit.
		sent,    ///< An attempt is running, or its end is being dealt with.
		ended,   ///< The caller has its answer, or left.
	};

	/// Of a request that is blocked.
	enum class look_state
	{
		none,    ///< It is not let through.
		granted, ///< It is, alone; no backend server has got it yet.
		used,    ///< A backend server has got it.
	};

	/// Finds the customer by the API key, and the home regions that bind.
	/// @returns Nothing when the request may go on.
	std::optional<reason> check_customer();
	/// @returns Whether the customer still holds the key in the newest configuration.
	bool key_holds() const;
	void refuse_key();
	/// Asks for a token of the customer's quota, then goes on.
	void ask_quota();
	void on_quota(quota_answer _answer);
	/// Gives the token back if no backend server was tried.
	void give_token_back();
	/// Makes the first attempt, or waits for a slot.
	void go_on();
	/// Decides on service, key, region and deadline.
	void admit();
	/// Sends it, or waits for a slot.
	void send_or_wait();
	/// @returns What stays the same when this request comes again; worked out when it is first asked for.
	const request_fingerprint& fingerprint();
	std::uint64_t head_hash() const;
	/// @returns Whether it is blocked, since backend servers have ended under it: it is then refused, or asks
	/// to be let through.
	bool hold_if_blocked();
	void on_look_decided(bool _granted);
	void refuse_blocked();
	/// Tells those who watch for requests that end backend servers how an exchange ended.
	void note_exchange(const backend_ptr& _backend, const exchange_result& _result);
	/// Gives a look back that reached no backend server.
	void give_look_back();
	/// @returns Whether a request that has waited was refused, by what has changed meanwhile.
	bool refuse_after_wait();
	std::chrono::milliseconds timeout() const;
	affinity_key key_of_request() const;
	backend_choice choose_backend_in(const region_name& _region, service_steering& _steering);
	/// Takes note of why a region has no backend server for it.
	void note_none(const backend_choice& _choice);
	/// @returns Whether rests alone kept it from being sent, and the first one ends when it waits no longer.
	bool rests_beyond_wait() const;
	/// Waits for a token of a backend server's limit.
	void ask_for_token(const backend_ptr& _backend);
	void on_token(const backend_ptr& _backend, quota_answer _answer);
	void send_to(const backend_ptr& _backend);
	void wait_for_slot();
	void leave_queue();

	/// Ends it if its deadline is over by the clock: the timer is late after the VM was suspended.
	/// @returns Whether it has ended.
	bool end_if_due();
	void on_wait_over();
	void on_deadline();
	void on_caller_left();
	void on_result(exchange_result&& _result);
	/// Does what the rule for the end of an attempt says.
	void follow(const attempt_rule& _rule, exchange_result&& _result);
	/// @returns Whether another attempt may be made; the retry budget pays for it where it must.
	bool pay_for_resend();

	void refuse(reason _reason);
	/// @returns Seconds after which its caller may come back.
	double come_back_s() const;
	void refuse_over_quota();
	void end_with(const final_answer& _end);
	void answer(caller_response&& _response, outcome _outcome, reason _reason);
	/// Tells roll-outs how an attempt ended that the backend server got.
	void note_attempt(const backend_server& _backend, attempt_end _end);
	void log_failed_attempt(const backend_server& _backend, const char* _why);
	void log_end(unsigned _status, outcome _outcome, reason _reason);
	void forget();

	request_context& m_context;
	request_owner_base& m_owner;
	std::shared_ptr<caller_session> m_session;
	caller_request m_request;
	std::string m_request_id;
	std::shared_ptr<const routing_table> m_routes; ///< Keeps m_route alive.
	const route* m_route = nullptr;
	const customer* m_customer = nullptr; ///< Of m_routes; null when no key was needed.
	home_regions m_homes;
	service_name m_service;
	affinity_key m_key;
	version_rule m_versions; ///< Backend servers that it may go to while a version is rolled out.
	region_choice m_planned; ///< Where it shall run; after it left its region, where it went.
	steady_time m_arrived_at{};
	steady_time m_sent_at{};
	steady_time m_deadline{};
	steady_time m_asking_since{}; ///< For tokens of limits of backend servers; epoch: it did not ask.
	asio::steady_timer m_deadline_timer;
	asio::steady_timer m_wait_timer;
	std::shared_ptr<upstream_exchange> m_exchange; ///< Null between two attempts.
	/// Failure of a backend server, in case no other attempt does better.
	std::optional<caller_response> m_kept_answer;
	std::vector<backend_id> m_tried;
	std::vector<backend_id> m_without_token; ///< Whose limit had no token for it.
	attempt_history m_history;
	state m_state = state::fresh;
	std::optional<request_fingerprint> m_fingerprint;
	look_state m_look = look_state::none;
	bool m_has_token = false;   ///< Of the customer's quota.
	bool m_only_limits = false; ///< At the last try, spent limits alone kept it from being sent.
	bool m_only_rests = false;  ///< The same of backend servers that asked for rest.
	steady_time m_back_at{};    ///< End of the first of these rests to end; the epoch: none was met.
};
} // namespace larkrack
