// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/header_rules_p.h"

#include <boost/beast/http/rfc7230.hpp>

#include <cctype>

namespace larkrack
{
namespace
{
/// Hop-by-hop headers, in lower case; never passed on.
constexpr const char* k_connection_headers[] = {"connection", "keep-alive", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade", "proxy-authenticate", "proxy-authorization"};
} // namespace

bool is_hop_by_hop(beast::string_view _name, const std::string& _listed)
{
	for (const char* header : k_connection_headers)
	{
		if (beast::iequals(_name, header))
		{
			return true;
		}
	}
	if (_listed.empty() || "close" == _listed || "keep-alive" == _listed)
	{
		return false;
	}
	return http::token_list(_listed).exists(_name);
}

void strip_hop_by_hop(caller_response& _response)
{
	const std::string listed = to_lower(_response[http::field::connection]);
	for (auto it = _response.begin(); it != _response.end();)
	{
		it = is_hop_by_hop(it->name_string(), listed) ? _response.erase(it) : std::next(it);
	}
}

std::string cookie_value(const caller_request& _request, const std::string& _name)
{
	const auto cookies = _request.equal_range(http::field::cookie);
	for (auto it = cookies.first; it != cookies.second; ++it)
	{
		const std::string text(it->value());
		std::size_t at = 0;
		while (at < text.size())
		{
			const std::size_t end = std::min(text.find(';', at), text.size());
			const std::size_t begin = text.find_first_not_of(' ', at);
			if (begin < end && 0 == text.compare(begin, _name.size(), _name) && begin + _name.size() < end &&
			    '=' == text[begin + _name.size()])
			{
				return text.substr(begin + _name.size() + 1, end - begin - _name.size() - 1);
			}
			at = end + 1;
		}
	}
	return {};
}

std::string to_lower(beast::string_view _text)
{
	std::string lower(_text);
	for (char& letter : lower)
	{
		letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
	}
	return lower;
}

void append_text(std::string& _out, beast::string_view _text)
{
	_out.append(_text.data(), _text.size());
}

void append_header(std::string& _out, beast::string_view _name, beast::string_view _value)
{
	append_text(_out, _name);
	_out += ": ";
	append_text(_out, _value);
	_out += "\r\n";
}
} // namespace larkrack
