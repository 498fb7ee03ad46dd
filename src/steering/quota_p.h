// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Quotas over all nodes: what nodes say to each other about a customer's tokens, and the bounds that hold.
///
/// A request of a customer with a limit takes a token, and so does one to a backend server that names a limit
/// (backend_limit_p.h); "customer" below stands for either. One node lends the tokens of a customer, the
/// first on the ring of nodes (quota_lender_p.h); the others borrow from it (quota_borrower_p.h), ahead of
/// need where they send much, one by one where they send little. No node knows or tells anything of customers
/// that don't send there, so state and messages grow with requests, not with nodes times customers.
///
/// Other ways, with figures: docs/design/shifted-customers.md.
#pragma once

#include "steering/quota_subject_p.h"

#include "base/clock_p.h"

namespace larkrack
{
/// Time after which borrowed tokens are void. Longer: more above the limit. Shorter: tokens of customers with
/// a changing rate are lost. Not measured.
constexpr std::chrono::milliseconds k_token_life{1000};
/// Longest time between two questions in vain. Shorter: more messages about customers above their limit.
/// Longer: tokens come to few nodes at a time. Not measured.
constexpr std::chrono::milliseconds k_longest_pause{200};

/// What a customer's requests may sum up to over all nodes, in any window: (rate x window + burst) x (1 +
/// overage) + slack.
struct quota_bounds
{
	std::chrono::milliseconds window{5000};
	double overage = 0.0; ///< Part of what the limit allows.
	double slack = 0.0;   ///< Requests.
	std::chrono::milliseconds token_life{k_token_life};
	std::chrono::milliseconds longest_pause{k_longest_pause}; ///< Between two questions in vain.
	/// Whether a shortage is told by the questions that got nothing, in place of the tokens that they wanted:
	/// for limits of which one request may try several, so that many want tokens that few need.
	bool counts_questions = false;
};

/// What a request that needs a token meets.
enum class quota_answer
{
	granted, ///< It has a token.
	waits,   ///< The lender's answer decides.
	over,    ///< The customer is above its limit.
	unknown, ///< No lender answers.
};

/// Which lender a node asks.
enum class lender_rank : std::uint8_t
{
	first,    ///< The first on the ring of nodes.
	stand_in, ///< The second one, because the first does not answer.
};

/// A node asks for tokens.
struct quota_request
{
	std::uint64_t customer = 0; ///< quota_subject::id.
	std::uint16_t wanted = 0;   ///< Tokens; at least 1.
	lender_rank rank = lender_rank::first;
};

/// The lender's answer.
struct quota_grant
{
	std::uint64_t customer = 0;
	std::uint16_t granted = 0;         ///< Tokens; 0: none are left.
	std::chrono::milliseconds wait{0}; ///< Without tokens: until there may be one.
};

/// Wait in the answer of a stand-in that is answered by the first lender: ask that one again.
constexpr std::chrono::milliseconds k_sent_back{0};

/// @returns Whether a stand-in's answer sends the node back to the first lender.
inline bool sends_back(const quota_grant& _grant)
{
	return 0 == _grant.granted && k_sent_back == _grant.wait;
}
} // namespace larkrack
