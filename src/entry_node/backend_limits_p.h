// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Limits that backend servers name beside their answers: which words hold, who is told of them, and tokens
/// for the requests of this node.
///
/// Owns the exchange of tokens, the log of limits, and at the node that lends a limit what its region was
/// told of it. Relies on the requests to hand in what was said, on backend_registry for the words that hold,
/// on the fleet for who lends, and on entry_node to send datagrams, to hand in those that come, and to call
/// tick().
///
/// A node that hears a new word tells the lender. That one tells its region, and in each other region the
/// node that would lend there, which tells it on. So a limit holds before each node has sent a request of its
/// own, and its end is known while nodes pause. Whoever missed a word hears it with the next answer of the
/// backend server or of the lender. A new word costs a datagram for each node, from one node of each region,
/// and comes the more rarely the more nodes there are (tell_pause()).
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/entry_log_p.h"
#include "entry_node/limit_messages_p.h"
#include "entry_node/placement_p.h"
#include "entry_node/token_exchange_p.h"

namespace larkrack
{
/// What requests ask about limits, and tell of them.
class limit_gate_base : public limit_tokens_base
{
public:
	using handler = token_exchange::handler;

	/// Waits for a token, after take() has told so.
	/// @param[in] _decided Called once, at once or later, and never with quota_answer::waits.
	virtual void wait_for_token(const backend_state& _backend, handler _decided) = 0;
	/// Takes back the token of a request that did not go there.
	virtual void give_back(const backend_state& _backend) = 0;
	/// Takes what a backend server said of its limit beside an answer to this node.
	virtual void on_word(backend_server& _backend, const limit_word& _word) = 0;
};

/// Limits over all nodes.
class backend_limits : public limit_gate_base, private token_owner_base
{
public:
	using sender = std::function<void(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)>;

	backend_limits(asio::io_context& _context, const clock_base& _clock, const fleet_view_base& _fleet,
	    const backend_registry& _backends, const placement& _placement, entry_log& _log, sender _send);

	quota_answer take(const backend_state& _backend) override;
	void wait_for_token(const backend_state& _backend, handler _decided) override;
	void give_back(const backend_state& _backend) override;
	void on_word(backend_server& _backend, const limit_word& _word) override;
	/// Takes a message of another node.
	void on_message(const limit_message& _message, const std::string& _sender_ip);
	/// Call it at a steady interval.
	void tick();
	/// See token_exchange::wake().
	void wake()
	{
		m_tokens.wake();
	}
	/// @returns Requests that a limit has kept from a backend server since the start.
	std::uint64_t refused() const
	{
		return m_refused;
	}

private:
	/// What the region was told last of a limit.
	struct told_word
	{
		std::optional<double> per_s;
		steady_time at{};
	};

	std::optional<quota_subject> find_subject(std::uint64_t _id) const override;
	quota_holders holders_of(std::uint64_t _id) const override;
	/// @returns Whether this node is the first lender of a life's limit.
	bool lends(std::uint32_t _life) const;
	/// @returns Whether this node tells its region of a life's limit; the lender is the one of its region.
	bool tells(std::uint32_t _life) const;
	void send(const quota_message& _message, const std::string& _ip) override;
	void on_refused(std::uint64_t) override
	{
		++m_refused;
	}
	/// Takes a word, and follows from it what a change of the limit needs.
	/// @returns Whether it changes the limit.
	bool take_word(backend_server& _backend, const limit_word& _word);
	void log_change(const backend_server& _backend, const limit_word& _before);
	/// Tells this region, if that is this node's part, of a limit that is far from what was told; a lender
	/// also those who tell the other regions.
	void tell_others(const backend_server& _backend);
	void answer_unlimited(
	    const backend_server& _backend, const quota_request& _request, const std::string& _ip);
	void send_word(const backend_server& _backend, const std::string& _ip);

	region_name m_region; ///< Of this node.
	const clock_base& m_clock;
	const fleet_view_base& m_fleet;
	const backend_registry& m_backends;
	entry_log& m_log;
	sender m_send;
	token_exchange m_tokens;
	std::unordered_map<std::uint32_t, told_word> m_told; ///< By life.
	std::uint64_t m_refused = 0;
};
} // namespace larkrack
