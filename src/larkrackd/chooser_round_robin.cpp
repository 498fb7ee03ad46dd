// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/chooser_p.h"

namespace larkrack
{
namespace
{
/// One after the other, whatever they have to do. Baseline.
class chooser_round_robin : public chooser_base
{
public:
	std::size_t choose(const std::vector<candidate>& _candidates) override
	{
		if (_candidates.empty())
		{
			return k_no_choice;
		}
		return m_next++ % _candidates.size();
	}
	bool keeps_to_slots() const override
	{
		return false;
	}

private:
	std::size_t m_next = 0;
};
} // namespace

std::unique_ptr<chooser_base> create_chooser_round_robin()
{
	return std::make_unique<chooser_round_robin>();
}
} // namespace larkrack
