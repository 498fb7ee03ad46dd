// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What the head of an answer may hold, whoever gave it: the one place that decides whether bytes are an
/// answer of the protocol. No state.
///
/// A status is one of 100 to 599 (RFC 9110, 15: others are invalid), and not 101, since no request of this
/// process asks for another protocol. The name of a field is a token, its value has no control byte but a
/// tab.
/// An answer of any other form is lost: passing it on, or its status in another form, would give the caller
/// something that its backend server did not say.
///
/// Relies on its caller to split the head into fields.
#pragma once

#include <string_view>

namespace larkrack
{
/// Statuses below it are those of interim answers.
constexpr unsigned k_min_final_status = 200;

/// @returns Whether a status is one of an answer: of an interim one (1xx) or of a final one.
bool is_answer_status(unsigned _status);
/// @returns Whether a field may stand in the head of an answer.
bool is_answer_field(std::string_view _name, std::string_view _value);

/// @param[in] _head Has result_int(), and fields with name_string() and value().
/// @returns Whether the head is one of an answer.
template <typename Head>
bool is_answer_head(const Head& _head)
{
	if (!is_answer_status(_head.result_int()))
	{
		return false;
	}
	for (const auto& field : _head)
	{
		const auto name = field.name_string();
		const auto value = field.value();
		if (!is_answer_field({name.data(), name.size()}, {value.data(), value.size()}))
		{
			return false;
		}
	}
	return true;
}

/// @returns Whether the head is one of a final answer.
template <typename Head>
bool is_final_answer_head(const Head& _head)
{
	return _head.result_int() >= k_min_final_status && is_answer_head(_head);
}
} // namespace larkrack
