// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Quotas over all nodes: the messages between nodes about a customer's tokens, and the bounds that the nodes
/// keep together.
///
/// Each request of a customer with a limit takes a token, and so does a request to a backend server that
/// states a limit (backend_limit_p.h); "customer" below stands for either. One node lends the tokens of a
/// customer, the first on the ring of nodes (quota_lender_p.h). The other nodes borrow from it
/// (quota_borrower_p.h): in advance for customers with a high rate there, one by one otherwise. No node holds
/// or sends anything about customers without requests there, so state and messages grow with requests, not
/// with nodes times customers.
///
/// Alternatives, with figures: docs/design/shifted-customers.md.
#pragma once

#include "steering/quota_subject_p.h"

#include "base/clock_p.h"

namespace larkrack
{
/// Time after which borrowed tokens expire. Longer: more requests above the limit. Shorter: tokens of
/// customers with a changing rate are lost.
constexpr std::chrono::milliseconds k_token_lifetime{1000};
/// Maximum pause after a borrow request that got no tokens. Shorter: more messages about customers above
/// their limit. Longer: tokens reach only few nodes at a time.
constexpr std::chrono::milliseconds k_max_borrow_pause{200};

/// Bound of a customer's requests over all nodes in any window: (rate x window + burst) x (1 + overage) +
/// slack.
struct quota_bounds
{
	std::chrono::milliseconds window{5000};
	double overage = 0.0; ///< Fraction of what the limit allows.
	double slack = 0.0;   ///< Number of requests.
	std::chrono::milliseconds token_lifetime{k_token_lifetime};
	/// Maximum pause after a borrow request that got no tokens.
	std::chrono::milliseconds max_pause{k_max_borrow_pause};
	/// Whether a shortage is measured by the borrow requests that got nothing, instead of by the tokens that
	/// they wanted. For limits of which one request may try several: many tokens are wanted, but few are
	/// needed.
	bool counts_borrow_requests = false;
};

/// Outcome for a request that needs a token.
enum class quota_answer
{
	granted,    ///< The request has a token.
	waits,      ///< The request waits for the lender's answer.
	over_limit, ///< The customer is above its limit.
	unknown,    ///< No lender is responsive.
};

/// The lender that a node asks.
enum class lender_rank : std::uint8_t
{
	first,  ///< The first node on the ring of nodes.
	backup, ///< The second node on the ring, because the first does not answer.
};

/// Borrow request of a node.
struct quota_request
{
	std::uint64_t customer = 0; ///< quota_subject::id.
	std::uint16_t wanted = 0;   ///< Number of tokens; at least 1.
	lender_rank rank = lender_rank::first;
};

/// The lender's answer.
struct quota_grant
{
	std::uint64_t customer = 0;
	std::uint16_t granted = 0;         ///< Number of tokens; 0: none are left.
	std::chrono::milliseconds wait{0}; ///< Without tokens: time until there may be a token.
};

/// Value of quota_grant::wait that redirects the borrower: the backup lender gets answers from the first
/// lender, so the borrower has to ask that lender again.
constexpr std::chrono::milliseconds k_redirect_wait{0};

/// @returns Whether the answer of a backup lender redirects the borrower to the first lender.
inline bool is_redirect(const quota_grant& _grant)
{
	return 0 == _grant.granted && k_redirect_wait == _grant.wait;
}
} // namespace larkrack
