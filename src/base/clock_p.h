// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Time, behind an interface, so that decisions can be tested on a virtual clock.
///
/// For: steady_time for intervals, wall_time for what other VMs see. All in microseconds.
/// Relies on: wall clocks of VMs that differ by no more than k_clock_skew.
#pragma once

#include "base/kernel_p.h"

#include <chrono>

namespace larkrack
{
/// A point on a clock that never jumps back; microseconds.
using steady_time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
/// A point on the wall clock; microseconds since 1970.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

/// Source of time.
class clock_base : public service_base
{
public:
	const char* name() const override
	{
		return "clock";
	}
	/// @returns Time for intervals.
	virtual steady_time steady() const = 0;
	/// @returns Time that can be compared between VMs, within the assumed skew.
	virtual wall_time wall() const = 0;
};

/// The clock of the operating system.
class clock_system : public clock_base
{
public:
	steady_time steady() const override;
	wall_time wall() const override;
};

/// The clock of the operating system that counts the time for which the VM is suspended. Timers do not: after
/// a suspension they fire late by it, so what is due by this clock is looked at before anything is sent.
class clock_boottime : public clock_system
{
public:
	steady_time steady() const override;
};

/// @returns Microseconds since the clock's start.
template <typename Time>
std::int64_t to_us(Time _time)
{
	return _time.time_since_epoch().count();
}

/// @returns Whole milliseconds of an interval.
inline std::chrono::milliseconds to_ms(steady_time::duration _interval)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(_interval);
}

/// @returns Seconds of an interval.
inline double to_s(steady_time::duration _interval)
{
	return std::chrono::duration<double>(_interval).count();
}

/// @returns A wall time from microseconds since 1970.
inline wall_time from_us(std::int64_t _us)
{
	return wall_time(std::chrono::microseconds(_us));
}
} // namespace larkrack
