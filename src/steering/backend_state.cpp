// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/backend_state_p.h"

#include "steering/rendezvous_p.h"

namespace larkrack
{
std::uint32_t incarnation_hash(const backend_registration& _registration)
{
	if (0 == _registration.started_ms)
	{
		return short_hash(_registration.id.text);
	}
	return short_hash(_registration.id.text + "@" + std::to_string(_registration.started_ms));
}
} // namespace larkrack
