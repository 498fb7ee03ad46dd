// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// One request of a caller on its way to a final answer.
#pragma once

#include "attempt_rules_p.h"
#include "forwarder_p.h"

namespace larkrack
{
/// Lives from the moment a request was read until its answer was handed over, or its caller left.
class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
public:
	forwarded_request(
	    forwarder& _forwarder, std::shared_ptr<caller_session> _session, caller_request&& _request);

	/// Finds the route and makes the first attempt.
	void start();
	/// Sends it to a backend server if one is free.
	/// @returns False when it has to wait.
	bool try_send();

private:
	void admit();
	void wait_for_slot();
	void leave_queue();
	void on_wait_over();
	void on_deadline();
	void on_caller_left();
	void on_result(exchange_result&& _result);
	/// Does what the rule for the end of an attempt says.
	void follow(const attempt_rule& _rule, exchange_result&& _result);
	/// @returns Whether another attempt may be made; the retry budget pays for it where it must.
	bool pay_for_resend();

	std::string choose_service();
	/// @returns Hash of what a backend server remembers: an object on a route; 0 when there is none.
	std::uint64_t affinity_of_request() const;
	/// Sets the region where it shall run: the one of its key, unless that is too far for what it asks.
	void choose_region(forwarder::service_state& _state);
	/// @returns The shares that this request keeps to.
	region_shares& shares_of(forwarder::service_state& _state) const;
	/// @returns Whether it may run in another region than the planned one; that is then counted.
	bool may_leave_region(forwarder::service_state& _state);
	std::vector<std::string> regions_to_try();
	backend_ptr choose_backend(const std::string& _region);
	void send_to(const backend_ptr& _backend);
	std::string bytes_for(const backend_server& _backend) const;

	void answer(caller_response&& _response, outcome _outcome, reason _reason);
	void refuse(reason _reason);
	void end_with(const final_answer& _end);
	void log_end(unsigned _status, outcome _outcome, reason _reason);
	void forget();

	forwarder& m_forwarder;
	std::shared_ptr<caller_session> m_session;
	caller_request m_request;
	std::string m_request_id;
	std::shared_ptr<const routing_table> m_routes; ///< Keeps m_route alive.
	const route* m_route = nullptr;
	std::string m_service;
	std::string m_region; ///< Where the shares want it to run.
	std::uint64_t m_affinity = 0;
	bool m_keyed = false; ///< Its key alone gives its region.
	steady_time m_arrived_at{};
	steady_time m_sent_at{};
	steady_time m_deadline{};
	asio::steady_timer m_deadline_timer;
	asio::steady_timer m_wait_timer;
	std::shared_ptr<upstream_exchange> m_exchange;
	/// Failure of a backend server, in case no other attempt does better.
	std::optional<caller_response> m_kept_answer;
	std::vector<std::string> m_tried;
	attempt_history m_history;
	bool m_waiting = false;
	bool m_ended = false;
};
} // namespace larkrack
