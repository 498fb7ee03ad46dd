// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Strong types for identifiers: handles into the tables of a policy, configuration revisions, and
/// incarnations of a process.
///
/// Handles of different tables, revisions and incarnations are distinct types, so that the compiler rejects
/// mixing them up.
/// Owns: no state.
/// Relies on: handles being used only with the policy that issued them.
#pragma once

#include <cstdint>
#include <functional>

namespace larkrack
{
/// Index of an invalid handle.
constexpr std::uint16_t k_invalid_index = UINT16_MAX;

/// Index into one of the tables of a policy. The tag makes handles of different tables distinct types.
template <typename Tag>
struct handle
{
	std::uint16_t idx = k_invalid_index;

	friend bool operator==(handle _a, handle _b)
	{
		return _a.idx == _b.idx;
	}
	friend bool operator!=(handle _a, handle _b)
	{
		return _a.idx != _b.idx;
	}
	friend bool operator<(handle _a, handle _b)
	{
		return _a.idx < _b.idx;
	}
};

/// @returns Whether the handle refers to an entry of a table.
template <typename Tag>
constexpr bool is_valid(handle<Tag> _handle)
{
	return k_invalid_index != _handle.idx;
}

using region_handle = handle<struct region_tag>;
using domain_handle = handle<struct domain_tag>;
using entry_vm_handle = handle<struct entry_vm_tag>;
using service_handle = handle<struct service_tag>;
using backend_handle = handle<struct backend_tag>;
using site_handle = handle<struct site_tag>;

/// Monotonically increasing number. The tag makes numbers for different purposes distinct types.
template <typename Tag>
struct monotonic_number
{
	std::uint64_t value = 0;

	friend bool operator==(monotonic_number _a, monotonic_number _b)
	{
		return _a.value == _b.value;
	}
	friend bool operator<(monotonic_number _a, monotonic_number _b)
	{
		return _a.value < _b.value;
	}
};

/// Revision of the configuration.
using revision = monotonic_number<struct revision_tag>;
/// Distinguishes two runs of the process on the same entry VM: start time in microseconds since 1970.
using incarnation = monotonic_number<struct incarnation_tag>;
} // namespace larkrack

namespace std
{
template <typename Tag>
struct hash<larkrack::handle<Tag>>
{
	size_t operator()(larkrack::handle<Tag> _handle) const noexcept
	{
		return _handle.idx;
	}
};
} // namespace std
