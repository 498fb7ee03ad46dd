// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrack/outcome.h"

namespace larkrack
{
const char* to_string(outcome _outcome)
{
	switch (_outcome)
	{
	case outcome::served:
		return "served";
	case outcome::not_run:
		return "not_run";
	case outcome::unknown:
		return "unknown";
	}
	return "unknown";
}

const char* to_string(reason _reason)
{
	switch (_reason)
	{
	case reason::none:
		return "none";
	case reason::no_headroom:
		return "no_headroom";
	case reason::shed:
		return "shed";
	case reason::deadline:
		return "deadline";
	case reason::no_backend:
		return "no_backend";
	case reason::no_configuration:
		return "no_configuration";
	case reason::unknown_service:
		return "unknown_service";
	case reason::cap:
		return "cap";
	case reason::stopping:
		return "stopping";
	case reason::unreachable:
		return "unreachable";
	case reason::lost_answer:
		return "lost_answer";
	case reason::owner_gone:
		return "owner_gone";
	case reason::in_flight_too_long:
		return "in_flight_too_long";
	case reason::bad_grant:
		return "bad_grant";
	case reason::bad_request:
		return "bad_request";
	case reason::unknown_key:
		return "unknown_key";
	case reason::no_home:
		return "no_home";
	case reason::over_quota:
		return "over_quota";
	case reason::quota_unknown:
		return "quota_unknown";
	case reason::ends_backends:
		return "ends_backends";
	case reason::resting:
		return "resting";
	case reason::over_share:
		return "over_share";
	case reason::shed_by_priority:
		return "shed_by_priority";
	}
	return "none";
}
} // namespace larkrack
