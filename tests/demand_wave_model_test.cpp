// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Simulates demand that moves in waves between regions of unequal capacity, on a virtual clock and without
/// single requests: the shares of each region follow plans by measured or by expected demand, and what a
/// region gets beyond its capacity is refused.

#include "fixtures.h"

#include "steering/demand_meter_p.h"
#include "steering/demand_trend_p.h"
#include "steering/peak_rates_p.h"
#include "steering/region_shares_p.h"

#include <cmath>
#include <iostream>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr double k_pi = 3.14159265358979323846;
constexpr ms k_tick{100};
constexpr ms k_wave_period{36000};
constexpr ms k_settled{12000}; ///< Time before the served fractions are counted.
constexpr ms k_simulated{60000};
constexpr double k_wave_swing = 0.55;
constexpr double k_load = 0.9; ///< Mean demand, as a fraction of all capacity.
constexpr double k_service_time_s = 0.25;
constexpr int k_slots = 6;
constexpr double k_max_shift = 0.15;
constexpr ms k_shift_window{2000};

struct wave_figures
{
	std::map<region_name, double> served; ///< Served fraction of each region's callers.
	double largest_shift = 0.0;           ///< Largest change of a share within a shift window.

	double worst_of_best() const
	{
		double worst = 1.0;
		double best = 0.0;
		for (const auto& [region, fraction] : served)
		{
			worst = std::min(worst, fraction);
			best = std::max(best, fraction);
		}
		return worst / best;
	}
};

/// One region: its capacity, and the shares by which its callers are divided.
struct wave_region
{
	explicit wave_region(const region_name& _name, int _servers, double _phase)
	    : name(_name), slots(_servers * k_slots), phase(_phase),
	      shares(_name, pace_for(k_max_shift, k_shift_window))
	{
	}
	region_name name;
	double slots;
	double phase;
	region_shares shares;
	demand_trend trend;
	double measured_per_s = 0.0;
	double asked = 0.0;
	double served = 0.0;
	std::deque<share_by_region> past_shares; ///< Of the last shift window.
};

class wave_model
{
public:
	explicit wave_model(bool _forecast) : m_forecast(_forecast)
	{
		m_regions.emplace_back(region_name("large"), 92, 0.0);
		m_regions.emplace_back(region_name("small"), 18, 1.0 / 3.0);
		m_regions.emplace_back(region_name("medium"), 78, 2.0 / 3.0);
		for (const wave_region& region : m_regions)
		{
			m_slots += region.slots;
		}
	}
	wave_figures run()
	{
		for (; m_now <= k_simulated; m_now += k_tick)
		{
			measure();
			move_shares();
			serve();
		}
		for (const wave_region& region : m_regions)
		{
			m_figures.served[region.name] = region.served / region.asked;
		}
		return m_figures;
	}

private:
	double demand_per_s(const wave_region& _region) const
	{
		const double mean = k_load * m_slots / k_service_time_s / static_cast<double>(m_regions.size());
		const double turns = to_s(m_now) / to_s(k_wave_period) + _region.phase;
		return mean * (1.0 + k_wave_swing * std::sin(2.0 * k_pi * turns));
	}
	void measure()
	{
		const double weight = ms(0) == m_now ? 1.0 : to_s(k_tick) / k_rate_time_constant_s;
		for (wave_region& region : m_regions)
		{
			region.measured_per_s += weight * (demand_per_s(region) - region.measured_per_s);
		}
	}
	void move_shares()
	{
		rate_by_region measured;
		for (const wave_region& region : m_regions)
		{
			measured[region.name] = region.measured_per_s;
		}
		for (wave_region& region : m_regions)
		{
			const steady_time now = steady_time{} + ms(1) + m_now;
			const rate_by_region rates = m_forecast ? region.trend.update(measured, now) : measured;
			region.shares.move_towards({plan_shares(region.name, loads(rates)), false}, now);
			note_shift(region);
		}
	}
	load_by_region loads(const rate_by_region& _rates) const
	{
		load_by_region loads;
		for (const wave_region& region : m_regions)
		{
			loads[region.name] = {
			    _rates.at(region.name) * k_service_time_s, k_planned_slot_fraction * region.slots};
		}
		return loads;
	}
	void note_shift(wave_region& _region)
	{
		_region.past_shares.push_back(_region.shares.shares());
		if (_region.past_shares.size() <= static_cast<std::size_t>(k_shift_window / k_tick))
		{
			return;
		}
		for (const auto& [region, share] : _region.shares.shares())
		{
			const share_by_region& past = _region.past_shares.front();
			const double before = past.count(region) > 0 ? past.at(region) : 0.0;
			m_figures.largest_shift = std::max(m_figures.largest_shift, share - before);
		}
		_region.past_shares.pop_front();
	}
	void serve()
	{
		std::map<region_name, double> slots_needed;
		for (const wave_region& region : m_regions)
		{
			for (const auto& [target, share] : region.shares.shares())
			{
				slots_needed[target] += share * demand_per_s(region) * k_service_time_s;
			}
		}
		if (m_now < k_settled)
		{
			return;
		}
		for (wave_region& region : m_regions)
		{
			region.asked += demand_per_s(region);
			for (const wave_region& target : m_regions)
			{
				const double fits = std::min(1.0, target.slots / slots_needed[target.name]);
				region.served += fits * region.shares.share_of(target.name) * demand_per_s(region);
			}
		}
	}

	bool m_forecast;
	std::vector<wave_region> m_regions;
	double m_slots = 0.0;
	ms m_now{0};
	wave_figures m_figures;
};
} // namespace

class demand_wave_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(demand_wave_model_test);
	CPPUNIT_TEST(regions_of_unequal_size_with_waves_are_served_alike);
	CPPUNIT_TEST(shares_by_expected_demand_keep_to_the_permitted_shift);
	CPPUNIT_TEST_SUITE_END();

protected:
	static void print(const char* _what, const wave_figures& _figures)
	{
		std::cout << _what << ": worst of best " << _figures.worst_of_best() << ", largest shift "
		          << _figures.largest_shift << "\n";
		for (const auto& [region, fraction] : _figures.served)
		{
			std::cout << "  " << region.text << " served " << fraction << "\n";
		}
	}

	/// Guards against a small region that is full before its callers are sent elsewhere.
	void regions_of_unequal_size_with_waves_are_served_alike()
	{
		const wave_figures measured = wave_model(false).run();
		const wave_figures expected = wave_model(true).run();
		print("plans by measured demand", measured);
		print("plans by expected demand", expected);
		CPPUNIT_ASSERT(expected.worst_of_best() >= 0.95);
		CPPUNIT_ASSERT(expected.worst_of_best() > measured.worst_of_best());
	}

	/// Guards against forecasts that move more requests than the setting permits.
	void shares_by_expected_demand_keep_to_the_permitted_shift()
	{
		CPPUNIT_ASSERT(wave_model(true).run().largest_shift <= k_max_shift);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(demand_wave_model_test);
} // namespace larkrack
