// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/not_run_proof_p.h"

namespace larkrack
{
const char* to_string(not_run_evidence _evidence)
{
	return not_run_evidence::unsent == _evidence ? "unsent" : "rejected";
}

std::optional<not_run_proof> not_run_proof::of_attempts(const attempt_history& _history, bool _under_way)
{
	if (_under_way || _history.may_have_run || _history.response_kept)
	{
		return std::nullopt;
	}
	return not_run_proof(_history.reached > 0 ? not_run_evidence::rejected : not_run_evidence::unsent);
}
} // namespace larkrack
