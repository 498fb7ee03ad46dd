// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Baseline load-balancing policies, selected by the setting `chooser`. They exist for comparison with
/// `own_count`, which performs better than each of them: docs/MEASUREMENTS.md, "Beside the plain ways". None
/// of them limits the requests of a backend server to its slots.

#include "larkrackd/chooser_p.h"

#include <algorithm>
#include <random>

namespace larkrack
{
namespace
{
/// Base of the baseline policies.
class chooser_plain : public chooser_base
{
public:
	bool respects_slots() const override
	{
		return false;
	}
};

/// Round robin, regardless of load.
class chooser_round_robin : public chooser_plain
{
public:
	std::size_t choose(const std::vector<candidate>& _candidates) override
	{
		return _candidates.empty() ? k_no_choice : m_next++ % _candidates.size();
	}

private:
	std::size_t m_next = 0;
};

/// The candidate with the fewest running requests of this entry VM.
class chooser_least_connections : public chooser_plain
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
};

/// Power of two choices: of two random candidates the one with fewer running requests.
class chooser_two_random : public chooser_plain
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

private:
	std::minstd_rand m_random{std::random_device{}()};
};
} // namespace

std::unique_ptr<chooser_base> create_chooser_plain(const std::string& _name)
{
	if ("round_robin" == _name)
	{
		return std::make_unique<chooser_round_robin>();
	}
	if ("least_connections" == _name)
	{
		return std::make_unique<chooser_least_connections>();
	}
	if ("two_random" == _name)
	{
		return std::make_unique<chooser_two_random>();
	}
	return nullptr;
}
} // namespace larkrack
