// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Proof that a request has not run and that this node never sends it again: what a refusal needs, since its
/// status promises both to the caller.
///
/// Inputs: how the attempts of the request have ended (attempt_rules_p.h), and whether one is under way. An
/// attempt counts as not run only with a rejection_proof (answer_verdict_p.h).
#pragma once

#include "steering/attempt_rules_p.h"

#include <optional>

namespace larkrack
{
/// By what a node knows that a request has not run.
enum class not_run_evidence
{
	unsent,   ///< No byte of it has left for a backend server.
	rejected, ///< Each backend server that received it has rejected it.
};

/// @returns Name in the log.
const char* to_string(not_run_evidence _evidence);

/// Held only by who may refuse a request.
class not_run_proof
{
public:
	/// @param[in] _under_way Whether an attempt that may have sent a byte has not ended.
	/// @returns The proof, or nothing if the request may have run or may still run.
	static std::optional<not_run_proof> of_attempts(const attempt_history& _history, bool _under_way);

	not_run_evidence evidence() const
	{
		return m_evidence;
	}

private:
	explicit not_run_proof(not_run_evidence _evidence) : m_evidence(_evidence)
	{
	}
	not_run_evidence m_evidence;
};
} // namespace larkrack
