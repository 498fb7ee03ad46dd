// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rate limits that backend servers report in response headers: which reported limit is valid, which nodes
/// are informed of a change, and the tokens for requests of this node.
///
/// Owns the token exchange, the log of limits and, on the node that informs a region of a limit, the value
/// that was last announced there. Relies on the requests to pass in reported limits, on backend_registry for
/// the limit that is currently valid, on the fleet view for the node that lends tokens, and on entry_node to
/// send datagrams, to pass in received datagrams and to call tick().
///
/// A node that receives a new limit from a backend server informs the lender of that limit. The lender
/// informs the nodes of its own region and, in each other region, the node that would be the lender there;
/// that node informs its region in turn. A limit is therefore known before each node has sent a request of
/// its own, and the end of a limit is known also to nodes that send no requests. A node that missed an
/// announcement receives the limit with the next response of the backend server or of the lender. A new limit
/// costs one datagram for each node, sent by one node of each region, and the more nodes a region has, the
/// less often it is announced (announce_interval()).
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/entry_log_p.h"
#include "entry_node/limit_messages_p.h"
#include "entry_node/placement_p.h"
#include "entry_node/token_exchange_p.h"

namespace larkrack
{
/// Interface by which requests take tokens for limited backend servers and report their limits.
class limit_admission_base : public limit_tokens_base
{
public:
	using handler = token_exchange::handler;

	/// Waits for a token, after take() has returned quota_answer::waits.
	/// @param[in] _decided Called exactly once, immediately or later, never with quota_answer::waits.
	virtual void wait_for_token(const backend_state& _backend, handler _decided) = 0;
	/// Returns the token of a request that was not sent to the backend server.
	virtual void return_token(const backend_state& _backend) = 0;
	/// Processes the limit that a backend server reported with a response to this node.
	virtual void on_limit_report(backend_server& _backend, const limit_report& _limit) = 0;
};

/// Limits of backend servers, shared by all nodes.
class backend_limits : public limit_admission_base, private token_owner_base
{
public:
	using sender = std::function<void(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)>;

	backend_limits(asio::io_context& _context, const clock_base& _clock, const fleet_view_base& _fleet,
	    const backend_registry& _backends, const placement& _placement, entry_log& _log, sender _send);

	quota_answer take(const backend_state& _backend) override;
	void wait_for_token(const backend_state& _backend, handler _decided) override;
	void return_token(const backend_state& _backend) override;
	void on_limit_report(backend_server& _backend, const limit_report& _limit) override;
	/// Processes a message of another node.
	void on_message(const limit_message& _message, const std::string& _sender_ip);
	/// Must be called periodically.
	void tick();
	/// See token_exchange::check_waiting().
	void check_waiting()
	{
		m_tokens.check_waiting();
	}
	/// @returns Number of requests that were not sent to a backend server because of its limit, since the
	/// start.
	std::uint64_t refused() const
	{
		return m_refused;
	}

private:
	/// Limit that was last announced to the region.
	struct announced_limit
	{
		std::optional<double> per_s; ///< Requests a second; nothing: no limit.
		steady_time at{};
	};

	std::optional<quota_subject> find_subject(std::uint64_t _id) const override;
	responsible_nodes responsible_for(std::uint64_t _id) const override;
	/// @returns Whether this node is the first lender of the limit of a backend server incarnation.
	bool is_lender(std::uint32_t _incarnation) const;
	/// @returns Whether this node announces the limit of a backend server incarnation to its region; in the
	/// region of the backend server, that is the lender.
	bool is_announcer(std::uint32_t _incarnation) const;
	void send(const quota_message& _message, const std::string& _ip) override;
	void on_refused(std::uint64_t) override
	{
		++m_refused;
	}
	/// Applies a reported limit: logs a change and scales down the tokens at hand when the limit decreased.
	/// @returns Whether the limit changed.
	bool apply_limit(backend_server& _backend, const limit_report& _limit);
	void log_change(const backend_server& _backend, const limit_report& _before);
	/// If this node is the announcer of its region, informs the region of a limit that differs noticeably
	/// from the announced one. A lender informs the announcers of the other regions too.
	void announce_limit(const backend_server& _backend);
	/// Grants the tokens of a request for a backend server that reports no limit.
	void grant_unlimited(
	    const backend_server& _backend, const quota_request& _request, const std::string& _ip);
	void send_limit(const backend_server& _backend, const std::string& _ip);

	region_name m_region; ///< Region of this node.
	const clock_base& m_clock;
	const fleet_view_base& m_fleet;
	const backend_registry& m_backends;
	entry_log& m_log;
	sender m_send;
	token_exchange m_tokens;
	std::unordered_map<std::uint32_t, announced_limit> m_announced; ///< By hash of the incarnation.
	std::uint64_t m_refused = 0;
};
} // namespace larkrack
