// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Strong types for ids: handles into the tables of one policy, configuration revisions, lives of a
/// process.
///
/// For: a handle of one table can not be taken for one of another, nor a revision for a life. Handles are
/// valid for the policy that gave them only.
#pragma once

#include <cstdint>
#include <functional>

namespace larkrack
{
/// Value of a handle that points at nothing.
constexpr std::uint16_t k_invalid_index = UINT16_MAX;

/// Index into one of the tables of a policy. The tag makes handles of different tables different types.
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

/// @returns Whether the handle points at something.
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

/// Number that only grows. The tag makes numbers of different things different types.
template <typename Tag>
struct growing_number
{
	std::uint64_t value = 0;

	friend bool operator==(growing_number _a, growing_number _b)
	{
		return _a.value == _b.value;
	}
	friend bool operator<(growing_number _a, growing_number _b)
	{
		return _a.value < _b.value;
	}
};

/// Revision of the configuration.
using revision = growing_number<struct revision_tag>;
/// Distinguishes two lives of a process on the same entry VM: start time in microseconds since 1970.
using incarnation = growing_number<struct incarnation_tag>;
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
