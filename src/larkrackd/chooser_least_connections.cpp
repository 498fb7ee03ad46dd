// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/chooser_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// The one with the fewest requests from here. Baseline.
class chooser_least_connections : public chooser_base
{
public:
	std::size_t choose(const std::vector<candidate>& _candidates) override
	{
		const auto fewer = [](const candidate& _a, const candidate& _b)
		{
			return _a.running < _b.running;
		};
		const auto it = std::min_element(_candidates.begin(), _candidates.end(), fewer);
		return _candidates.end() == it ? k_no_choice : static_cast<std::size_t>(it - _candidates.begin());
	}
	bool keeps_to_slots() const override
	{
		return false;
	}
};
} // namespace

std::unique_ptr<chooser_base> create_chooser_least_connections()
{
	return std::make_unique<chooser_least_connections>();
}
} // namespace larkrack
