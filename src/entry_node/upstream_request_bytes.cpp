// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/upstream_request_bytes_p.h"

#include <algorithm>
#include <cctype>

namespace larkrack
{
namespace
{
/// Bytes reserved for the header of a typical request, to avoid reallocations.
constexpr std::size_t k_header_reserve = 512;

/// Compares header names without case and with "_" equal to "-", since backend software may treat both alike.
bool matches_header_name(beast::string_view _name, const std::string& _header)
{
	const auto same = [](char _left, char _right)
	{
		const auto plain = [](char _letter)
		{
			return '_' == _letter ? '-' : std::tolower(static_cast<unsigned char>(_letter));
		};
		return plain(_left) == plain(_right);
	};
	return std::equal(_name.begin(), _name.end(), _header.begin(), _header.end(), same);
}

/// @returns Whether a header of the caller is dropped or replaced by one of the node.
bool is_dropped_header(const caller_request::value_type& _field, const header_names& _names)
{
	return matches_header_name(_field.name_string(), _names.api_key) ||
	       matches_header_name(_field.name_string(), _names.customer) ||
	       beast::iequals(_field.name_string(), _names.timeout_ms) ||
	       beast::iequals(_field.name_string(), _names.target_id) ||
	       http::field::content_length == _field.name() || http::field::expect == _field.name();
}
} // namespace

upstream_request make_upstream_request(const caller_request& _request, const header_names& _names,
    const backend_id& _target, const customer_name& _customer, body_ptr _body)
{
	upstream_request made;
	std::string& bytes = made.before;
	bytes.reserve(k_header_reserve);
	append_text(bytes, _request.method_string());
	bytes += ' ';
	append_text(bytes, _request.target());
	bytes += " HTTP/1.1\r\n";
	const std::string listed = to_lower(_request[http::field::connection]);
	for (const auto& field : _request)
	{
		if (!is_hop_by_hop(field.name_string(), listed) && !is_dropped_header(field, _names))
		{
			append_header(bytes, field.name_string(), field.value());
		}
	}
	bytes += _names.timeout_ms;
	bytes += ": ";
	std::string& rest = made.after;
	rest.reserve(k_header_reserve);
	rest += "\r\n";
	append_header(rest, _names.target_id, _target.text);
	if (!_customer.empty())
	{
		append_header(rest, _names.customer, _customer.text);
	}
	const std::size_t length = _body ? _body->size() : 0;
	if (_request.has_content_length() || _request.chunked() || length > 0)
	{
		append_header(rest, "Content-Length", std::to_string(length));
	}
	rest += "\r\n";
	made.body = std::move(_body);
	return made;
}
} // namespace larkrack
