// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/relay_verdict_p.h"

namespace larkrack
{
namespace
{
/// Statuses with which a relay refuses to send a request. Fixed by HTTP.
enum class relay_refusal : unsigned
{
	bad_request = 400,
	forbidden = 403,
	not_found = 404,
	payload_too_large = 413,
	header_fields_too_large = 431,
	service_unavailable = 503,
};
constexpr unsigned k_status_ok = 200;

bool is_refusal(unsigned _status)
{
	switch (static_cast<relay_refusal>(_status))
	{
	case relay_refusal::bad_request:
	case relay_refusal::forbidden:
	case relay_refusal::not_found:
	case relay_refusal::payload_too_large:
	case relay_refusal::header_fields_too_large:
	case relay_refusal::service_unavailable:
		return true;
	default:
		return false;
	}
}
} // namespace

relay_verdict judge_relay(const relay_marks& _marks, repeat_rule _repeat)
{
	if (answer_id::other == _marks.request || answer_id::other == _marks.attempt)
	{
		return relay_verdict::lost;
	}
	const bool is_success = k_status_ok == _marks.status;
	if (is_success && _marks.has_result)
	{
		return relay_verdict::result;
	}
	if (!is_success && !is_refusal(_marks.status))
	{
		return relay_verdict::lost;
	}
	const bool named = answer_id::own == _marks.request && answer_id::own == _marks.attempt;
	const bool proven = !is_success && (named || !_marks.on_kept_connection);
	return proven || repeat_rule::repeatable == _repeat ? relay_verdict::not_sent : relay_verdict::lost;
}
} // namespace larkrack
