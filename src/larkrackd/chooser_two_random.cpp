// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/chooser_p.h"

#include <random>

namespace larkrack
{
namespace
{
/// The less busy of two that are drawn at random. Baseline.
class chooser_two_random : public chooser_base
{
public:
	std::size_t choose(const std::vector<candidate>& _candidates) override
	{
		if (_candidates.empty())
		{
			return k_no_choice;
		}
		std::uniform_int_distribution<std::size_t> any(0, _candidates.size() - 1);
		const std::size_t a = any(m_random);
		const std::size_t b = any(m_random);
		return _candidates[b].running < _candidates[a].running ? b : a;
	}
	bool keeps_to_slots() const override
	{
		return false;
	}

private:
	std::minstd_rand m_random{std::random_device{}()};
};
} // namespace

std::unique_ptr<chooser_base> create_chooser_two_random()
{
	return std::make_unique<chooser_two_random>();
}
} // namespace larkrack
