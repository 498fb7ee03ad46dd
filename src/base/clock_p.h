// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Clocks behind an interface, so that tests can run time-dependent code on a virtual clock.
///
/// Use steady_time for intervals and wall_time for times that are sent to other VMs. All times are in
/// microseconds.
/// Owns: no state.
/// Relies on: wall clocks of any two VMs that differ by no more than k_clock_skew.
#pragma once

#include "base/kernel_p.h"

#include <chrono>

namespace larkrack
{
/// A time on a monotonic clock; microseconds.
using steady_time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
/// A time on the wall clock; microseconds since 1970.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

/// Interface of a clock.
class clock_base : public service_base
{
public:
	const char* name() const override
	{
		return "clock";
	}
	/// @returns Monotonic time, for measuring intervals on this VM.
	virtual steady_time steady() const = 0;
	/// @returns Wall time, comparable between VMs within k_clock_skew.
	virtual wall_time wall() const = 0;
};

/// The clock of the operating system.
class clock_system : public clock_base
{
public:
	steady_time steady() const override;
	wall_time wall() const override;
};

/// System clock that includes the time for which the VM is suspended (CLOCK_BOOTTIME). Timers exclude that
/// time and fire late after a suspension, so callers compare their deadlines with this clock before they send
/// anything.
class clock_boottime : public clock_system
{
public:
	steady_time steady() const override;
};

/// @returns Microseconds since the epoch of the clock.
template <typename Time>
std::int64_t to_us(Time _time)
{
	return _time.time_since_epoch().count();
}

/// @returns An interval in whole milliseconds, rounded toward zero.
inline std::chrono::milliseconds to_ms(steady_time::duration _interval)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(_interval);
}

/// @returns An interval in seconds.
inline double to_s(steady_time::duration _interval)
{
	return std::chrono::duration<double>(_interval).count();
}

/// @returns An interval of that many seconds.
inline steady_time::duration from_s(double _seconds)
{
	return std::chrono::microseconds(static_cast<std::int64_t>(1e6 * _seconds));
}

/// @returns A wall time from microseconds since 1970.
inline wall_time from_us(std::int64_t _us)
{
	return wall_time(std::chrono::microseconds(_us));
}
} // namespace larkrack
