// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Strong types for the identifiers used in steering decisions, so that a region can not be mistaken for a
/// service.
#pragma once

#include <functional>
#include <string>
#include <utility>

namespace larkrack
{
/// A textual identifier. The tag makes identifiers of different kinds different types. Ordering and hash are
/// those of the text.
template <typename Tag>
struct text_id
{
	text_id() = default;
	explicit text_id(std::string _text) : text(std::move(_text))
	{
	}
	bool empty() const
	{
		return text.empty();
	}

	std::string text;

	friend bool operator==(const text_id& _a, const text_id& _b)
	{
		return _a.text == _b.text;
	}
	friend bool operator!=(const text_id& _a, const text_id& _b)
	{
		return _a.text != _b.text;
	}
	friend bool operator<(const text_id& _a, const text_id& _b)
	{
		return _a.text < _b.text;
	}
	friend bool operator>(const text_id& _a, const text_id& _b)
	{
		return _a.text > _b.text;
	}
};

using region_name = text_id<struct region_name_tag>;
using domain_name = text_id<struct domain_name_tag>; ///< Name of a failure domain.
using service_name = text_id<struct service_name_tag>;
using node_name = text_id<struct node_name_tag>;
using backend_id = text_id<struct backend_id_tag>; ///< Id of one incarnation of a backend server.
using request_id = text_id<struct request_id_tag>;
using request_kind = text_id<struct request_kind_tag>; ///< Requests of similar duration; empty: not known.
} // namespace larkrack

namespace std
{
template <typename Tag>
struct hash<larkrack::text_id<Tag>>
{
	size_t operator()(const larkrack::text_id<Tag>& _id) const noexcept
	{
		return hash<string>()(_id.text);
	}
};
} // namespace std
