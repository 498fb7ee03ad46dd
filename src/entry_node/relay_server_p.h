// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Relay: sends requests of other nodes to backend servers that those cannot reach, and returns the results.
///
/// The other node has decided on everything but the connection. This node checks what only it knows: that the
/// sender is a node of the fleet, that the message is one well-formed request, that the backend server is the
/// incarnation meant and accepts requests of this node, that its own path works, and that time is left, also
/// until the end of its own planned stop, of which the other node does not know. It
/// never uses a relay itself, so that a request has one further hop at most. It does not count the request as
/// in flight, since the other node does, and reports a crash of the backend server in its place.
///
/// Owns the relayed requests. Relies on the listener for other nodes, and on node_paths.
#pragma once

#include "entry_node/crash_guard_p.h"
#include "entry_node/relay_messages_p.h"
#include "entry_node/upstream_p.h"
#include "steering/loop_gap_p.h"
#include "steering/planned_stop_p.h"

#include <unordered_set>

namespace larkrack
{
/// Counters since the start, for the metrics page.
struct relay_counters
{
	std::uint64_t relayed = 0; ///< Requests of other nodes that were sent to a backend server.
	std::uint64_t refused = 0; ///< Requests of other nodes that were refused.
};

/// Name of an attempt of another node, as that node gives it.
struct relayed_attempt
{
	std::string request_id;
	std::string number; ///< Empty: a node of an earlier version gives none.

	static relayed_attempt of(const caller_request& _request, const header_names& _names);
};

/// Forwards requests of other nodes.
class relay_server
{
public:
	/// @returns Whether an address belongs to a node of the fleet.
	using sender_check = std::function<bool(const std::string& _ip)>;

	relay_server(const exchange_services& _services, backend_registry& _backends, node_paths& _paths,
	    crash_admission_base& _crashes, entry_log& _log, sender_check _is_node);
	~relay_server();
	relay_server(const relay_server&) = delete;
	relay_server& operator=(const relay_server&) = delete;

	/// Handles a request to forward.
	void handle_request(const std::shared_ptr<caller_session>& _session, caller_request&& _request);
	/// Handles a query about the paths of this node.
	void handle_path_query(const std::shared_ptr<caller_session>& _session, const caller_request& _request);
	/// Returns requests that wait for a failure domain whose path is broken now to their senders, as far as
	/// they may be sent again.
	void abandon_requests(const domain_name& _domain);
	/// @returns Requests of other nodes without a result yet.
	std::size_t in_flight() const
	{
		return m_requests.size();
	}
	/// Must be called periodically.
	void tick()
	{
		m_gap.on_iteration(m_services.clock.steady());
	}
	/// Refuses further requests that may not end in time: their senders have other ways.
	void begin_stop(const stop_course& _course)
	{
		m_stop = _course;
	}
	const relay_counters& counters() const
	{
		return m_counters;
	}

private:
	class relayed_request;
	/// Lets a response name the attempt that it answers.
	void set_name(caller_response& _response, const relayed_attempt& _name) const;
	void refuse(
	    const std::shared_ptr<caller_session>& _session, const relayed_attempt& _name, http::status _status);
	/// @returns Why a request is not sent, or nothing.
	std::optional<relay_result> reason_not_to_send(const relay_request& _message) const;
	/// Logs a request that no backend server answered, under the id by which the other node logs it.
	void log_failed(const std::string& _sender, const std::string& _id, const backend_server& _backend,
	    const relay_result& _result);
	void respond(const std::shared_ptr<caller_session>& _session, const relayed_attempt& _name,
	    relay_result&& _result) const;

	exchange_services m_services;
	backend_registry& m_backends;
	node_paths& m_paths;
	crash_admission_base& m_crashes;
	entry_log& m_log;
	sender_check m_is_node;
	loop_stall_detector m_gap;
	relay_counters m_counters;
	std::unordered_set<std::shared_ptr<relayed_request>> m_requests;
	std::optional<stop_course> m_stop; ///< Course of the planned stop; nothing: the node runs.
};
} // namespace larkrack
