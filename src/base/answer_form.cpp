// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/answer_form_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
constexpr unsigned k_min_status = 100;
constexpr unsigned k_max_status = 599;
constexpr unsigned k_switching_protocols = 101;
constexpr unsigned char k_delete = 0x7f;

bool is_token_byte(char _byte)
{
	const bool is_letter = ('a' <= _byte && _byte <= 'z') || ('A' <= _byte && _byte <= 'Z');
	const bool is_digit = '0' <= _byte && _byte <= '9';
	return is_letter || is_digit ||
	       ('\0' != _byte && std::string_view::npos != std::string_view("!#$%&'*+-.^_`|~").find(_byte));
}

bool is_value_byte(char _byte)
{
	const auto byte = static_cast<unsigned char>(_byte);
	return '\t' == _byte || (byte >= ' ' && k_delete != byte);
}
} // namespace

bool is_answer_status(unsigned _status)
{
	return k_min_status <= _status && _status <= k_max_status && k_switching_protocols != _status;
}

bool is_answer_field(std::string_view _name, std::string_view _value)
{
	return !_name.empty() && std::all_of(_name.begin(), _name.end(), is_token_byte) &&
	       std::all_of(_value.begin(), _value.end(), is_value_byte);
}
} // namespace larkrack
