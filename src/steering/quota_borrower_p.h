// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Quota borrower: decides whether a request of a customer may proceed at this node, and when to borrow
/// tokens.
///
/// Decides for each request whether it gets a token, waits for one, or is refused; and whether to send a
/// borrow request now, to which lender, and for how many tokens. Inputs: the requests of each customer at
/// this node, the answers of the lenders, and, for requests without a token, the quota bounds and the number
/// of nodes.
///
/// Algorithm:
/// - A node borrows the tokens that it needs for k_borrow_horizon at the customer's current rate here, as
///   soon as half of them are used. A need of less than one token is borrowed when a request arrives; that
///   request waits for the answer, one round trip.
/// - After a refusal the node pauses before its next borrow request. Meanwhile requests wait if the lender
///   expects the shortage to be short (k_max_shortage_wait), and are refused at once if the customer is far
///   above its limit.
/// - A lender without any answer for k_lender_unresponsive_after while borrow requests are open is skipped
///   for k_lender_skip_time, for all of its customers, and the backup lender is asked. The backup lender
///   lends if the first lender does not answer it either; otherwise it redirects the node to the first
///   lender.
/// - Each node owns a share of k_fallback_overage_fraction of the overage and of k_fallback_slack_fraction
///   of the slack, its fallback allowance. A request that would have to wait uses the allowance instead, and
///   the next borrowed tokens refill it; while no lender answers, the allowance is all that the node may
///   admit. Fractions of a request are rounded up at some nodes, selected by the hash of the node's name. A
///   node that started within the window has no allowance: it does not know what it used before its restart.
/// - Tokens that were not used for quota_bounds::token_lifetime expire: the lender has given their time to
///   other nodes.
///
/// Above what the lender lends, nodes can admit the tokens that they hold: k_borrow_horizon of the rate.
///
/// Owns one account of about 120 bytes for each customer with a request here in the last
/// k_account_idle_timeout.
///
/// Relies on its owner to send the borrow requests that next_borrow_request() returns and to pass in the
/// answers.
#pragma once

#include "steering/quota_p.h"

#include <optional>
#include <unordered_map>

namespace larkrack
{
/// Time whose expected requests a node holds tokens for. Longer: fewer messages, more requests above the
/// limit after a jump of the rate. Shorter: requests of customers with a high rate wait for the lender.
constexpr std::chrono::milliseconds k_borrow_horizon{200};
/// Timeout for the answer of a lender. A round trip to another region takes 70 ms, and a node with a link of
/// 10 Mbit/s may be sending a large answer for 70 to 400 ms. Longer: requests wait longer for a crashed
/// lender. Shorter: more borrow requests than needed, and live lenders count as unresponsive; at 100 ms, with
/// late answers ignored, 3 of 100 requests of a quiet day were refused, at 150 ms 0.7.
constexpr std::chrono::milliseconds k_lender_response_timeout{200};
/// Time without any answer after which a lender counts as unresponsive. Longer: requests wait longer for a
/// crashed lender. Shorter: a lender behind a narrow link counts as unresponsive.
constexpr std::chrono::milliseconds k_lender_unresponsive_after{400};
/// Time for which an unresponsive lender is skipped. Longer: a backup lender lends beside a lender that
/// answers again. Shorter: more requests wait for a crashed lender.
constexpr std::chrono::milliseconds k_lender_skip_time{1000};
/// Minimum pause after a borrow request that got no tokens. Shorter: more messages about customers above
/// their limit.
constexpr std::chrono::milliseconds k_min_borrow_pause{50};
/// Requests wait for tokens if the lender expects the shortage to end within this time. Longer: callers above
/// the limit wait in vain. Shorter: customers below their limit are refused when their requests arrive in
/// bursts.
constexpr std::chrono::milliseconds k_max_shortage_wait{200};
/// Time constant of the average request rate of a customer at this node.
constexpr std::chrono::milliseconds k_account_rate_time_constant{1000};
/// Idle time after which the account of a customer is removed.
constexpr std::chrono::seconds k_account_idle_timeout{10};

/// Lenders of a customer's tokens, as this node sees them.
struct quota_lenders
{
	std::uint32_t first = 0;  ///< short_hash of the first lender's name.
	std::uint32_t backup = 0; ///< short_hash of the backup lender's name; 0: there is none.
};

/// Borrows tokens for the requests of this node, and admits or refuses these requests.
class quota_borrower
{
public:
	/// @param[in] _node_hash Hash of this node's name.
	/// @param[in] _now Start time of the process.
	quota_borrower(quota_bounds _bounds, std::uint64_t _node_hash, steady_time _now)
	    : m_bounds(_bounds), m_node_hash(_node_hash), m_started_at(_now)
	{
	}
	/// Counts a request of a customer.
	/// @param[in] _nodes Number of nodes that share the fallback allowance.
	/// @returns Never unknown.
	quota_answer take(const quota_subject& _subject, double _nodes, steady_time _now);
	/// Checks again whether a waiting request may proceed.
	quota_answer retry_take(const quota_subject& _subject, const quota_lenders& _lenders, steady_time _now);
	/// Returns the token of a request that reached no backend server.
	void return_token(const quota_subject& _subject, steady_time _now);
	/// @param[in] _waiting Number of requests that wait for a token.
	/// @returns The borrow request to send now; nothing when none is due.
	std::optional<quota_request> next_borrow_request(
	    const quota_subject& _subject, const quota_lenders& _lenders, std::size_t _waiting, steady_time _now);
	/// @returns Whether a lender recently left borrow requests of this node without any answer.
	bool is_unresponsive(std::uint32_t _lender, steady_time _now) const;
	/// Books the tokens of an answer. Late answers count as well: the lender has deducted their tokens.
	/// @param[in] _lender short_hash of the lender's name; 0: it no longer lends for this customer.
	void on_grant(const quota_grant& _grant, std::uint32_t _lender, steady_time _now);
	/// Handles a redirect of the backup lender: the first lender is responsive.
	void on_redirect(const quota_grant& _grant, std::uint32_t _first);
	/// Handles a lowered limit: keeps only a fraction of the tokens that were lent under the former limit.
	/// @param[in] _part That fraction, 0 to 1.
	void on_limit_lowered(std::uint64_t _subject, double _part);
	/// @returns Seconds until a refused customer may find tokens, by the ratio of its request rate to its
	/// granted rate.
	double quota_retry_delay_s(const quota_subject& _subject) const;
	/// Removes the accounts of customers without requests.
	void evict_idle(steady_time _now);
	std::size_t size() const
	{
		return m_accounts.size();
	}

private:
	struct account
	{
		double tokens = 0.0;
		steady_time expires_at{};       ///< Expiry of the tokens.
		double per_s = 0.0;             ///< Requests per second.
		double granted_per_s = 0.0;     ///< Requests with a token per second.
		steady_time decayed_at{};       ///< Time up to which the rates are decayed.
		steady_time asked_at{};         ///< Time of the open borrow request; epoch: none is open.
		std::uint32_t asked_lender = 0; ///< Lender of the last borrow request.
		std::uint16_t wanted = 0;       ///< Tokens wanted by the last borrow request.
		steady_time pause_until{};      ///< No borrow request before this time.
		bool over_limit = false;        ///< Whether the customer is far above its limit.
		int fallback_used = 0; ///< Requests admitted without a token that no later token has made up for.
		steady_time last_fallback_at{};
	};
	/// Responsiveness of a lender of this node.
	struct lender_health
	{
		steady_time open_since{}; ///< Time of the first borrow request that no answer has followed; epoch:
		                          ///< none is open.
		steady_time skipped_until{};
	};
	/// @returns Whether a request without a token is refused at once instead of waiting.
	static bool refuses_at_once(const account& _account, steady_time _now);
	/// @returns The account of a customer, with its rates decayed up to now.
	account& decayed_account(std::uint64_t _subject, steady_time _now);
	void on_borrow_timeout(account& _account, steady_time _now);
	void on_borrow_sent(std::uint32_t _lender, steady_time _now);
	/// Spends a token of the account, if it has one.
	bool spend(account& _account, steady_time _now);
	/// Spends one request of the fallback allowance, if any is left.
	bool spend_fallback(
	    account& _account, const quota_subject& _subject, double _nodes, steady_time _now) const;

	quota_bounds m_bounds;
	std::uint64_t m_node_hash;
	steady_time m_started_at;
	std::unordered_map<std::uint64_t, account> m_accounts;
	std::unordered_map<std::uint32_t, lender_health> m_lenders; ///< By short_hash of the name.
};
} // namespace larkrack
