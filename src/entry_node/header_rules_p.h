// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Which headers concern only one connection (RFC 9110, 7.6.1), and small helpers for header texts. No state.
#pragma once

#include "entry_node/http_listener_p.h"

#include <string>

namespace larkrack
{
/// @param[in] _listed Value of the Connection header, in lower case: the headers that it names go no further.
/// @returns Whether the header must not be passed on.
bool is_hop_by_hop(beast::string_view _name, const std::string& _listed);
/// Takes all headers away that concern only the connection to the backend server.
void strip_hop_by_hop(caller_response& _response);
/// @returns Value of a cookie, or an empty text.
std::string cookie_value(const caller_request& _request, const std::string& _name);
std::string to_lower(beast::string_view _text);
void append_text(std::string& _out, beast::string_view _text);
/// Adds "name: value" and the end of the line.
void append_header(std::string& _out, beast::string_view _name, beast::string_view _value);
} // namespace larkrack
