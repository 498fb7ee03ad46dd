// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests that end the backend servers that run them: who saw an end, who counts, and who is told.
///
/// Owns the probes of backend servers whose connections broke, what this node saw and counts, and what it
/// knows of blocked requests. What follows from it is decided in steering/crash_evidence and
/// steering/blocked_requests. Relies on requests to tell how their exchanges ended, on the fleet view for the
/// nodes that count, on entry_node to send datagrams, to hand in those that come, to write to the store, and
/// to call tick(), and on state_replica for what stands in the store.
///
/// | what | from | to | when |
/// | --- | --- | --- | --- |
/// | end_report | who saw it | the two nodes that count this request, by consistent hashing | each end, told
/// twice | | block_news | who counts | its region, and one node of each other region, which tells its own | a
/// request is blocked, let through or cleared; told three times | | the same | who counts | the store | the
/// same, until it is read back | | look_request, look_answer | who has a blocked request | the first node
/// that counts | it may be let through | | served_report | who saw it served | the two nodes that count | it
/// was suspected |
///
/// Cost: nothing while no backend server ends and nothing is blocked, but two hashes of a request without a
/// body that was served. An end costs two datagrams for each request that was on the server; a block one
/// datagram for each node, from one node of each region.
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/crash_messages_p.h"
#include "entry_node/crash_probe_p.h"
#include "entry_node/entry_log_p.h"
#include "steering/crash_evidence_p.h"
#include "steering/fleet_view_p.h"
#include "steering/served_lately_p.h"

#include <functional>
#include <list>
#include <map>

namespace larkrack
{
/// What requests ask about those that end backend servers, and tell of them.
class crash_gate_base
{
public:
	using look_handler = std::function<void(bool _granted)>;

	virtual ~crash_gate_base() = default;
	/// @returns Whether a request with that head may be blocked or suspected; one step while none is.
	virtual bool concerns(std::uint64_t _head) const = 0;
	/// @returns Whether any request is blocked.
	virtual bool blocks_any() const = 0;
	/// Decides on a request that has come.
	virtual block_decision decide(const request_fingerprint& _request, const service_name& _service) = 0;
	/// Asks whether a blocked request may be let through.
	/// @param[in] _decided Called once, at once or after a moment.
	virtual void ask_for_look(
	    const request_fingerprint& _request, const service_name& _service, look_handler _decided) = 0;
	/// Takes note that a request that was let through reached no backend server.
	virtual void on_look_returned(const request_fingerprint& _request) = 0;
	/// Takes note that the connection to a backend server broke with a request on it.
	virtual void on_connection_broken(const backend_ptr& _backend, const request_fingerprint& _request) = 0;
	/// @returns Whether a request whose connection broke may be sent to another backend server.
	virtual bool may_resend(const request_fingerprint& _request) const = 0;
	/// Takes note that a backend server answered a request.
	virtual void on_answered(const request_fingerprint& _request) = 0;
};

/// Told of the keys of the store that are about blocked requests.
class block_keys_base
{
public:
	virtual ~block_keys_base() = default;
	virtual void on_block(const request_block& _block) = 0;
	virtual void on_block_gone(const request_fingerprint& _request) = 0;
};

/// The part of a node in finding and holding off requests that end backend servers.
class crash_guard : public crash_gate_base, public block_keys_base
{
public:
	using sender = std::function<void(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)>;
	/// Writes what is known of a request to the store, or takes it away there.
	using writer = std::function<void(const request_block& _block)>;

	crash_guard(asio::io_context& _context, const clock_base& _clock, const fleet_view_base& _fleet,
	    const backend_registry& _backends, const region_name& _region, entry_log& _log, sender _send,
	    writer _write);
	~crash_guard() override;

	bool concerns(std::uint64_t _head) const override;
	bool blocks_any() const override
	{
		return !m_blocked.empty();
	}
	block_decision decide(const request_fingerprint& _request, const service_name& _service) override;
	void ask_for_look(
	    const request_fingerprint& _request, const service_name& _service, look_handler _decided) override;
	void on_look_returned(const request_fingerprint& _request) override;
	void on_connection_broken(const backend_ptr& _backend, const request_fingerprint& _request) override;
	bool may_resend(const request_fingerprint& _request) const override;
	void on_answered(const request_fingerprint& _request) override;
	void on_block(const request_block& _block) override;
	void on_block_gone(const request_fingerprint& _request) override;

	/// Takes note that a backend server has ended.
	/// @param[in] _requests Of this node, that were on it.
	void on_backend_ended(const backend_server& _backend, const std::vector<request_fingerprint>& _requests);
	/// Takes a message of another node.
	void on_message(const crash_message& _message, const std::string& _sender_ip);
	/// Call it at a steady interval.
	void tick();
	/// Ends questions that have not been answered in time. A timer calls it while any is open.
	void wake();
	/// @returns Requests that are blocked here.
	std::size_t blocked() const
	{
		return m_blocked.size();
	}
	/// @returns Requests that were refused because they are blocked, since the start.
	std::uint64_t refused() const
	{
		return m_refused;
	}

private:
	/// Requests on a backend server that may have ended.
	struct doubtful_end
	{
		backend_ptr backend;
		std::shared_ptr<crash_probe> probe;
		std::vector<request_fingerprint> requests;
	};
	/// A message that is sent again, since datagrams get lost.
	struct repeated
	{
		crash_message message;
		std::vector<std::string> addresses; ///< Empty: the nodes that count, as they are then.
		steady_time next{};
		int left = 0;
	};
	/// A question for a look that awaits its answer.
	struct open_question
	{
		look_handler decided;
		steady_time until{};
	};
	/// A service's versions as of a moment.
	struct known_versions
	{
		std::uint32_t hash = 0;
		steady_time at{};
	};
	/// A block of this node's making that is not read back from the store yet.
	struct unwritten_block
	{
		std::uint32_t number = 0;
		steady_time next{};
	};

	void on_probed(std::uint32_t _life, bool _ended);
	/// Tells those that count of an end under a request, if it may be at fault.
	void report_end(std::uint32_t _life, const request_fingerprint& _request);
	void count_end(const end_report& _report);
	void count_served(const served_report& _report);
	bool is_popular(const request_fingerprint& _request) const;
	/// Blocks a request for all nodes.
	void block(const request_fingerprint& _request);
	/// Tells all nodes and the store of a change that this node made.
	void announce(const request_block& _block);
	/// Takes what is told of a request.
	/// @returns Whether it is new here.
	bool take_block(const request_block& _block);
	/// Follows a change of what is known of a request.
	void on_block_changed(const request_block& _block);
	/// Says that a request was served here lately, so that it is not to blame.
	void object_if_popular(const request_block& _block);
	void tell_region(const request_block& _block);
	std::optional<request_block> grant_look(const request_fingerprint& _request, std::uint32_t _versions);
	void answer_look(const request_fingerprint& _request, bool _granted);
	/// Sends a message to the two nodes that count a request; what is for this one is taken in at once.
	void send_to_counters(const crash_message& _message, const request_fingerprint& _request);
	void send(const crash_message& _message, const std::vector<std::string>& _addresses);
	void repeat(const crash_message& _message, std::vector<std::string> _addresses, int _times);
	void send_repeated();
	void write_again();
	std::uint32_t versions_of(const service_name& _service);

	asio::io_context& m_context;
	const clock_base& m_clock;
	const fleet_view_base& m_fleet;
	const backend_registry& m_backends;
	region_name m_region; ///< Of this node.
	entry_log& m_log;
	sender m_send;
	writer m_write;
	std::map<std::uint32_t, doubtful_end> m_doubtful; ///< By life.
	crash_evidence m_seen;                            ///< By this node.
	crash_evidence m_counted;                         ///< Of all nodes, for requests that this one counts.
	blocked_requests m_blocked;
	served_lately m_served;
	std::list<repeated> m_repeated;
	std::map<request_fingerprint, open_question> m_questions;
	asio::steady_timer m_question_timer;
	std::map<service_name, known_versions> m_versions;
	std::map<request_fingerprint, unwritten_block> m_unwritten;
	std::uint64_t m_refused = 0;
};
} // namespace larkrack
