// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Answer verdict: what an answer at a connection to a backend server proves about the request that was sent
/// there.
///
/// Inputs: the marks in the head of the answer, and what is known of the request.
///
/// | id in the answer | status | not-run mark | verdict |
/// | --- | --- | --- | --- |
/// | another, or none though the request has one | any | any | foreign |
/// | own | 400, 421, 429, 503 | yes | rejected |
/// | own | 421 without a signature | no | rejected |
/// | own | any other | yes | inconclusive |
/// | own | 408, 421, 429, 503 | no | inconclusive if it must not run twice, else answered |
/// | own | 2xx without exactly one signature, not empty | no | inconclusive |
/// | own | any other | no | answered |
///
/// A signature is opaque: whether it is that of this request or of this backend server can't be told.
///
/// A status alone proves nothing, since a backend server gives any status to requests that it has run; only
/// 421 stands for another server at the address, which runs nothing. The mark beside a success or a server
/// error contradicts the answer, and is not believed.
///
/// An answer that is passed on carries its status to the caller, and with 408, 421, 429 and 503 a promise: so
/// an at-most-once request passes on none of them.
#pragma once

#include "steering/answer_marks_p.h"
#include "steering/routing_table_p.h"

#include <optional>

namespace larkrack
{
/// Verdict on one answer.
enum class answer_verdict
{
	answered,     ///< The answer to the request; it counts as run.
	rejected,     ///< The backend server has not run the request, and will not.
	foreign,      ///< Not known to be the answer to this request.
	inconclusive, ///< The answer to the request, and no word on whether it has run.
};

/// Proof that a backend server which received a request has not run it, and will not. Only the rule above
/// makes one.
class rejection_proof
{
public:
	/// @returns The proof in an answer; nothing if it proves less.
	/// @param[in] _has_id Whether the request has an id.
	static std::optional<rejection_proof> of_answer(const answer_marks& _marks, bool _has_id);

private:
	rejection_proof() = default;
};

/// @param[in] _has_id Whether the request has an id, which answers to it carry back.
answer_verdict judge_answer(const answer_marks& _marks, bool _has_id, repeat_rule _repeat);
} // namespace larkrack
