// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Quota borrower: whether a request of a customer may go on at this node, and when to ask the lender.
///
/// Decides for each request whether it has a token, waits for one, or is refused; and whether to ask the
/// lender now, which one, and for how many tokens. Inputs: the requests of each customer at this node, the
/// lender's answers, and for doubt the bounds and the number of nodes.
///
/// Rule:
/// - A node borrows what it needs for k_horizon at the customer's rate here, once half of it is used up. What
///   makes less than one token is borrowed when a request comes, which waits for the answer: a round trip.
/// - Refused by the lender, the node asks again after a pause. Meanwhile requests wait if the lender told a
///   short shortage (k_short_wait), and are refused at once if the customer is far above its limit.
/// - A lender that answers nothing for k_lender_silent while questions are open is passed over for
///   k_passed_over, for all of its customers, and the stand-in is asked. That one lends if it finds the first
///   lender silent itself; else it sends the node back to it.
/// - Each node has a part of k_doubt_of_overage of the overage and k_doubt_of_slack of the slack for itself.
///   A request takes it in place of waiting, and it comes back with the next tokens; when no lender answers,
///   it is all there is. What makes less than one request, some nodes have by the hash of their name. A node
///   that started within the window has none: it can't know what its former life had.
/// - Tokens that were not used for quota_bounds::token_life are void: the lender has given their time to
/// others.
///
/// What is sent above what the lender lends: the tokens that nodes hold, k_horizon of the rate.
///
/// State: one account of about 120 bytes for each customer that sent here in the last k_account_kept.
///
/// Relies on: the owner to send what due() tells and to hand in the answers.
#pragma once

#include "steering/quota_p.h"

#include <optional>
#include <unordered_map>

namespace larkrack
{
/// Time for whose requests a node holds tokens. Longer: fewer messages, more above the limit after a jump.
/// Shorter: requests of customers with a high rate wait for the lender. Not measured.
constexpr std::chrono::milliseconds k_horizon{200};
/// Time for an answer of a lender; to another region and back take 70 ms, and a node with a link of 10 Mbit/s
/// may be sending a large answer for 70 to 400 ms. Longer: requests wait longer for a dead lender. Shorter:
/// more questions than needed, and live lenders count as silent; at 100 ms without late answers 3 of 100
/// requests of a quiet day were refused, at 150 ms 0.7.
constexpr std::chrono::milliseconds k_answer_time{200};
/// Time without any answer after which a lender counts as silent. Longer: requests wait longer for a dead
/// one. Shorter: one behind a narrow link counts as silent.
constexpr std::chrono::milliseconds k_lender_silent{400};
/// Time for which a silent lender is passed over. Longer: a stand-in lends beside one that answers again.
/// Shorter: more requests wait for a dead one. Not measured.
constexpr std::chrono::milliseconds k_passed_over{1000};
/// Shortest time between two questions in vain. Shorter: more messages about customers above their limit. Not
/// measured.
constexpr std::chrono::milliseconds k_least_pause{50};
/// A shortage that the lender takes to be over within this time is waited for. Longer: callers above the
/// limit wait in vain. Shorter: customers below their limit are refused when their requests come together.
/// Not measured.
constexpr std::chrono::milliseconds k_short_wait{200};
/// Time over which the rate of a customer at this node is averaged. Not measured.
constexpr std::chrono::milliseconds k_account_rate_memory{1000};
/// Time for which the account of a customer that does not send is kept.
constexpr std::chrono::seconds k_account_kept{10};

/// Who lends the tokens of a customer, as this node sees it.
struct quota_lenders
{
	std::uint32_t first = 0;    ///< short_hash of the node's name.
	std::uint32_t stand_in = 0; ///< The same; 0: there is none.
};

/// Borrows tokens for the requests of this node.
class quota_borrower
{
public:
	/// @param[in] _node_hash Hash of this node's name.
	/// @param[in] _now Start of the process.
	quota_borrower(quota_bounds _bounds, std::uint64_t _node_hash, steady_time _now)
	    : m_bounds(_bounds), m_node_hash(_node_hash), m_started_at(_now)
	{
	}
	/// Counts a request of a customer.
	/// @param[in] _nodes Nodes that share what there is without a lender.
	/// @returns Never unknown.
	quota_answer take(const quota_subject& _subject, double _nodes, steady_time _now);
	/// Asks again for a request that waits.
	quota_answer take_again(const quota_subject& _subject, const quota_lenders& _lenders, steady_time _now);
	/// Takes back the token of a request that reached no backend server.
	void give_back(const quota_subject& _subject, steady_time _now);
	/// @param[in] _waiting Requests that wait for a token.
	/// @returns What to ask now; nothing when no question is due.
	std::optional<quota_request> due(
	    const quota_subject& _subject, const quota_lenders& _lenders, std::size_t _waiting, steady_time _now);
	/// @returns Whether a lender left this node's questions without an answer of late.
	bool is_silent(std::uint32_t _lender, steady_time _now) const;
	/// Late answers count as well: the lender has given their tokens away.
	/// @param[in] _lender short_hash of the lender's name; 0: it is no lender of the customer any more.
	void on_grant(const quota_grant& _grant, std::uint32_t _lender, steady_time _now);
	/// Takes the word of the stand-in that the first lender answers.
	void on_sent_back(const quota_grant& _grant, std::uint32_t _first);
	/// Takes a limit that fell: of the tokens that were lent under the former one, a part stays.
	/// @param[in] _part 0 to 1.
	void on_limit_fell(std::uint64_t _subject, double _part);
	/// @returns Seconds until a customer that was refused may find tokens, by how far it is above its limit.
	double seconds_to_come_back(const quota_subject& _subject) const;
	/// Drops accounts of customers that do not send.
	void forget_idle(steady_time _now);
	std::size_t size() const
	{
		return m_accounts.size();
	}

private:
	struct account
	{
		double tokens = 0.0;
		steady_time void_at{};
		double per_s = 0.0;         ///< Requests.
		double granted_per_s = 0.0; ///< Of them with a token.
		steady_time counted_at{};
		steady_time asked_at{};    ///< Epoch: no answer is awaited.
		std::uint32_t asked = 0;   ///< Lender that was asked last.
		std::uint16_t wanted = 0;  ///< Tokens of that question.
		steady_time pause_until{}; ///< No question before that.
		bool over = false;         ///< The customer is far above its limit.
		int in_doubt = 0;          ///< Requests that went on without a token, and were not made up for.
		steady_time last_doubt{};
	};
	/// A lender that this node asks.
	struct lender_health
	{
		steady_time open_since{}; ///< First question without any answer behind it; epoch: none is open.
		steady_time passed_over_until{};
	};
	/// @returns Whether a request without a token is refused at once.
	static bool refuses(const account& _account, steady_time _now);
	account& counted(std::uint64_t _subject, steady_time _now);
	void note_unanswered(account& _account, steady_time _now);
	void note_asked(std::uint32_t _lender, steady_time _now);
	bool spend(account& _account, steady_time _now);
	bool spend_in_doubt(
	    account& _account, const quota_subject& _subject, double _nodes, steady_time _now) const;

	quota_bounds m_bounds;
	std::uint64_t m_node_hash;
	steady_time m_started_at;
	std::unordered_map<std::uint64_t, account> m_accounts;
	std::unordered_map<std::uint32_t, lender_health> m_lenders; ///< By short_hash of the name.
};
} // namespace larkrack
