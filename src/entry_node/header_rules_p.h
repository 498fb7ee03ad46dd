// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rules for hop-by-hop headers, which concern one connection only (RFC 9110, 7.6.1), and helpers for header
/// strings. No state.
#pragma once

#include "entry_node/http_listener_p.h"

#include <string>

namespace larkrack
{
/// @param[in] _listed Value of the Connection header, in lower case: the headers it names are hop-by-hop too.
/// @returns Whether the header concerns one connection only and must not be passed on.
bool is_hop_by_hop(beast::string_view _name, const std::string& _listed);
/// Removes all headers that concern only the connection to the backend server.
void strip_hop_by_hop(caller_response& _response);
/// @returns Value of a cookie, or an empty string.
std::string cookie_value(const caller_request& _request, const std::string& _name);
std::string to_lower(beast::string_view _text);
void append_text(std::string& _out, beast::string_view _text);
/// Appends "name: value" and the end of the line.
void append_header(std::string& _out, beast::string_view _name, beast::string_view _value);
} // namespace larkrack
