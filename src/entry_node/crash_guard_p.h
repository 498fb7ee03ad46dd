// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Detects and blocks requests that crash the backend servers that run them: collects the crashes that nodes
/// observe, and distributes blocked requests to all nodes.
///
/// Owns the probes of backend servers whose connections broke, the crashes that this node observed, those
/// that it counts for all nodes, and its copy of the blocked requests. The rules are in
/// steering/crash_evidence and steering/blocked_requests. Relies on requests to report how their exchanges
/// ended, on the fleet view for the counting nodes, on entry_node to send datagrams, to pass in received
/// datagrams, to write to the store and to call tick(), and on state_replica for the contents of the store.
///
/// Each request has two counting nodes, chosen by consistent hashing: the first one and its backup. They
/// collect the crashes that the request causes anywhere. A blocked request may be let through a few times as
/// a trial, so that an innocent one is cleared; the first counting node grants the trials.
///
/// Messages:
/// - crash_report: from a node that observed a crash to the counting nodes, for each crash, sent twice.
/// - block_update: from a counting node to the nodes of its region and, in each other region, to one node and
///   its backup, which forward it within their region; when a request is blocked, let through or cleared,
///   sent three times. The counting node also writes the same state to the store, and repeats the write until
///   it reads the state back.
/// - trial_request and trial_response: between a node that received a blocked request and the first counting
///   node, when a trial may be due. trial_unused: the trial reached no backend server.
/// - success_report: from a node that served a suspected request to the counting nodes.
///
/// Cost: nothing while no backend server crashes and nothing is blocked, except for two hashes of each served
/// request without a body. A crash costs two datagrams for each request that ran on the backend server; a
/// block costs one datagram for each node, sent by one node of each region.
///
/// crash_guard.cpp holds the detection of crashes and the exchange of messages, crash_guard_blocks.cpp the
/// blocked requests and their trials.
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/crash_messages_p.h"
#include "entry_node/crash_probe_p.h"
#include "entry_node/entry_log_p.h"
#include "entry_node/node_paths_p.h"
#include "steering/crash_evidence_p.h"
#include "steering/fleet_view_p.h"
#include "steering/served_lately_p.h"

#include <functional>
#include <list>
#include <map>

namespace larkrack
{
/// Interface by which requests learn whether they are blocked, and report how their exchanges ended.
class crash_admission_base
{
public:
	using trial_handler = std::function<void(bool _granted)>;

	virtual ~crash_admission_base() = default;
	/// Takes constant time while no request is blocked or suspected.
	/// @param[in] _head Hash of the request's head, see request_fingerprint.
	/// @returns Whether a request with that head may be blocked or suspected.
	virtual bool tracks_head(std::uint64_t _head) const = 0;
	/// @returns Whether any request is blocked.
	virtual bool has_blocked_requests() const = 0;
	/// Decides whether a received request may be sent to a backend server.
	virtual block_decision decide(const request_fingerprint& _request, const service_name& _service) = 0;
	/// Asks the first counting node whether a blocked request may be let through as a trial.
	/// @param[in] _decided Called exactly once, immediately or after a delay.
	virtual void request_trial(
	    const request_fingerprint& _request, const service_name& _service, trial_handler _decided) = 0;
	/// Reports that a request that was let through as a trial reached no backend server.
	virtual void on_trial_unused(const request_fingerprint& _request) = 0;
	/// Reports that the connection to a backend server broke with a request on it.
	virtual void on_connection_broken(const backend_ptr& _backend, const request_fingerprint& _request) = 0;
	/// @returns Whether a request whose connection broke may be sent to another backend server.
	virtual bool may_retry(const request_fingerprint& _request) const = 0;
	/// Reports that a backend server answered a request.
	virtual void on_answered(const request_fingerprint& _request) = 0;
};

/// Receives changes of the store's keys for blocked requests.
class block_listener_base
{
public:
	virtual ~block_listener_base() = default;
	virtual void on_block(const request_block& _block) = 0;
	virtual void on_block_removed(const request_fingerprint& _request) = 0;
};

/// @returns Text of a request's fingerprint in the log.
std::string hex_of(const request_fingerprint& _request);

/// The node's part in detecting and blocking requests that crash backend servers.
class crash_guard : public crash_admission_base, public block_listener_base
{
public:
	using sender = std::function<void(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)>;
	/// Writes the state of a blocked request to the store, or deletes its key there when it is cleared.
	using writer = std::function<void(const request_block& _block)>;

	crash_guard(asio::io_context& _context, const clock_base& _clock, const fleet_view_base& _fleet,
	    const backend_registry& _backends, const region_name& _region, entry_log& _log, sender _send,
	    writer _write);
	~crash_guard() override;

	/// Sets who tells a crash from a broken path; without one, each refused connection counts as a crash.
	void set_path_witness(path_witness_base* _witness)
	{
		m_witness = _witness;
	}
	bool tracks_head(std::uint64_t _head) const override;
	bool has_blocked_requests() const override
	{
		return !m_blocked.empty();
	}
	block_decision decide(const request_fingerprint& _request, const service_name& _service) override;
	void request_trial(
	    const request_fingerprint& _request, const service_name& _service, trial_handler _decided) override;
	void on_trial_unused(const request_fingerprint& _request) override;
	void on_connection_broken(const backend_ptr& _backend, const request_fingerprint& _request) override;
	bool may_retry(const request_fingerprint& _request) const override;
	void on_answered(const request_fingerprint& _request) override;
	void on_block(const request_block& _block) override;
	void on_block_removed(const request_fingerprint& _request) override;

	/// Processes the crash of a backend server.
	/// @param[in] _requests Requests of this node that the backend server was running.
	void on_backend_crashed(
	    const backend_server& _backend, const std::vector<request_fingerprint>& _requests);
	/// Processes a message of another node.
	void on_message(const crash_message& _message, const std::string& _sender_ip);
	/// Must be called periodically.
	void tick();
	/// Refuses trials that were not answered in time. A timer calls it while any is pending.
	void expire_trials();
	/// @returns Number of requests that are blocked at this node.
	std::size_t blocked() const
	{
		return m_blocked.size();
	}
	/// @returns Number of requests that were refused because they are blocked, since the start.
	std::uint64_t refused() const
	{
		return m_refused;
	}

private:
	/// A backend server that may have crashed, and the requests of this node that it was running.
	struct suspected_crash
	{
		backend_ptr backend;
		std::shared_ptr<crash_probe> probe;
		std::vector<request_fingerprint> requests;
	};
	/// A message that is sent again, because datagrams get lost.
	struct pending_repeat
	{
		crash_message message;
		std::vector<std::string> addresses; ///< Empty: the counting nodes at the time of sending.
		steady_time next{};
		int left = 0; ///< Remaining repetitions.
	};
	/// A request for a trial that awaits its response.
	struct pending_trial
	{
		trial_handler decided;
		steady_time until{};
	};
	/// Cached hash of the versions that a service's backend servers run.
	struct cached_versions
	{
		std::uint32_t hash = 0;
		steady_time at{};
	};
	/// A block that this node created and has not read back from the store yet.
	struct unwritten_block
	{
		std::uint32_t number = 0;
		steady_time next{};
	};

	void on_probed(std::uint32_t _incarnation, bool _crashed);
	/// Ends a suspicion: reports the crash, unless the path to the backend server does not work.
	void on_path_confirmed(std::uint32_t _incarnation, bool _works);
	/// Reports the crash of a backend server to the counting nodes of a request that it was running, unless
	/// the request was served recently.
	void report_crash(std::uint32_t _incarnation, const request_fingerprint& _request);
	void count_crash(const crash_report& _report);
	void count_served(const success_report& _report);
	/// @returns Whether a request without a body was served recently for the same caller at this node.
	bool was_served_recently(const request_fingerprint& _request) const;
	/// Blocks a request for all nodes.
	void block(const request_fingerprint& _request);
	/// Sends a change that this node made to all nodes and to the store.
	void announce(const request_block& _block);
	/// Applies a received state of a request.
	/// @returns Whether the state is new at this node.
	bool apply_block(const request_block& _block);
	/// Logs a changed state of a request, and drops the evidence against a cleared one.
	void on_block_changed(const request_block& _block);
	/// Reports a blocked request that was served here recently, and so is not at fault, to the counting
	/// nodes.
	void contest_if_served_recently(const request_block& _block);
	void send_to_region(const request_block& _block);
	std::optional<request_block> grant_trial(const request_fingerprint& _request, std::uint32_t _versions);
	void finish_trial(const request_fingerprint& _request, bool _granted);
	/// Sends a message to the two counting nodes of a request. If this node is one of them, it processes the
	/// message immediately.
	void send_to_counting_nodes(const crash_message& _message, const request_fingerprint& _request);
	void send(const crash_message& _message, const std::vector<std::string>& _addresses);
	void repeat(const crash_message& _message, std::vector<std::string> _addresses, int _times);
	void send_repeats();
	void retry_writes();
	std::uint32_t versions_of(const service_name& _service);

	asio::io_context& m_context;
	const clock_base& m_clock;
	const fleet_view_base& m_fleet;
	const backend_registry& m_backends;
	region_name m_region; ///< Region of this node.
	entry_log& m_log;
	sender m_send;
	writer m_write;
	path_witness_base* m_witness = nullptr;
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
	std::map<std::uint32_t, suspected_crash> m_suspected_crashes; ///< By hash of the incarnation.
	crash_evidence m_observed;                                    ///< Crashes that this node observed.
	crash_evidence m_counted; ///< Crashes that any node observed, for requests that this node counts.
	blocked_requests m_blocked;
	recently_served m_served;
	std::list<pending_repeat> m_repeats;
	std::map<request_fingerprint, pending_trial> m_pending_trials;
	asio::steady_timer m_trial_timer;
	std::map<service_name, cached_versions> m_versions;
	std::map<request_fingerprint, unwritten_block> m_unwritten;
	std::uint64_t m_refused = 0;
};
} // namespace larkrack
