// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/caller_identity_p.h"

namespace larkrack
{
namespace
{
/// @returns The customer that holds the request's one key, or null.
const customer* holder_of_key(
    const caller_request& _request, const customer_directory& _customers, const std::string& _header)
{
	const auto keys = _request.equal_range(_header);
	if (keys.first == keys.second || std::next(keys.first) != keys.second)
	{
		return nullptr;
	}
	const beast::string_view key = keys.first->value();
	return _customers.find({key.data(), key.size()});
}
} // namespace

const route* route_of(const caller_request& _request, const routing_table& _routes)
{
	const beast::string_view host = _request[http::field::host];
	const beast::string_view target = _request.target();
	return _routes.find({host.data(), host.size()}, {target.data(), target.size()});
}

caller_identity identify(const caller_request& _request, const route& _route,
    const customer_directory& _customers, const header_names& _names)
{
	if (!_customers.in_force())
	{
		return {};
	}
	if (const customer* holder = holder_of_key(_request, _customers, _names.api_key))
	{
		return {key_check::known, holder};
	}
	return {_route.needs_key ? key_check::refused : key_check::not_needed, nullptr};
}
} // namespace larkrack
