// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/chooser_p.h"

namespace larkrack
{
std::unique_ptr<chooser_base> create_chooser(const std::string& _name)
{
	if ("own_count" == _name)
	{
		return create_chooser_own_count();
	}
	return create_chooser_plain(_name);
}
} // namespace larkrack
