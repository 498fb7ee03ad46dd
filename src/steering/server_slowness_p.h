// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Server slowness: how long work takes at a backend server at this moment, relative to usual.
///
/// Handles servers whose speed changes several times a second, because they share hardware.
/// Inputs: the fourth value of the load header (100: usual) of each response; the time (steady clock).
///
/// Algorithm: the last report holds when it arrives and fades linearly to the server's own mean within
/// k_slowness_lifetime. Without any report for k_slowness_mean_lifetime, the mean counts no more, and the
/// server counts as usual.
///
/// Alternatives: the last report without an age keeps a server slow that gets no requests, and so no
/// responses; the mean alone misses each change.
///
/// Relies on a new incarnation of a server having a new object. Each node knows the reports in its own
/// responses only.
#pragma once

#include "base/clock_p.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace larkrack
{
/// Milliseconds in which a report fades to the server's mean. Longer: a server that has recovered is avoided.
/// Shorter: nodes with few requests do not notice a slow server.
constexpr std::chrono::milliseconds k_slowness_lifetime{600};
/// Milliseconds without a report after which a server counts as usual. Longer: a server that has stopped
/// reporting keeps an outdated mean. Shorter: a server with few requests loses its mean.
constexpr std::chrono::milliseconds k_slowness_mean_lifetime{10000};
/// Weight of a report in the server's mean, no unit. Larger: the mean follows single reports. Smaller: a
/// server that has become slow for good is noticed late.
constexpr double k_slowness_mean_weight = 0.05;
/// The fourth value for usual work times. Fixed by the protocol.
constexpr double k_usual_slowness_percent = 100.0;
/// Highest fourth value that is valid. Fixed by the protocol.
constexpr double k_max_slowness_percent = 10000.0;

/// Slowness of one incarnation of a backend server.
class server_slowness
{
public:
	/// @param[in] _factor 1: usual.
	void on_report(double _factor, steady_time _now);
	/// @returns Factor on usual work times now; 1 without reports.
	double factor(steady_time _now) const
	{
		// Called for each server of a region by each choice without a key: inline, and without a division.
		const steady_time::duration age = _now - m_reported_at;
		if (age >= k_slowness_mean_lifetime)
		{
			return 1.0; // Also without any report.
		}
		if (age >= k_slowness_lifetime)
		{
			return m_mean;
		}
		return m_last + static_cast<double>(age.count()) * m_change_per_tick;
	}
	/// @returns Whether the server has ever reported a valid value.
	bool reported() const
	{
		return never() != m_reported_at;
	}

private:
	/// @returns Part of k_slowness_lifetime that a tick of the clock is.
	static constexpr double per_tick()
	{
		return 1.0 / static_cast<double>(steady_time::duration(k_slowness_lifetime).count());
	}
	/// @returns Time of the last report while there was none: half of the clock's range, so that the
	/// difference to any time does not overflow.
	static constexpr steady_time never()
	{
		return steady_time(steady_time::duration::min() / 2);
	}

	double m_last = 1.0;
	double m_mean = 1.0;
	double m_change_per_tick = 0.0; ///< Of the factor, from the last report on, until it is the mean.
	/// Time of the last report.
	steady_time m_reported_at = never();
};

/// @param[in] _text Fourth value of a load header.
/// @returns The factor on usual work times, or nothing if the value is 0, negative, too high or not a number.
std::optional<double> parse_slowness(std::string_view _text);
} // namespace larkrack
