// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/caller_identity_p.h"

#include "steering/request_times_p.h"

namespace larkrack
{
namespace
{
/// @returns The holder of the request's API key; null if there is not exactly one key header or no holder.
const customer* find_key_holder(
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

const route* find_route(const caller_request& _request, const routing_table& _routes)
{
	const beast::string_view host = _request[http::field::host];
	const beast::string_view target = _request.target();
	return _routes.find({host.data(), host.size()}, {target.data(), target.size()});
}

std::optional<std::string_view> stated_timeout(const caller_request& _request, const header_names& _names)
{
	const auto field = _request.find(_names.timeout_ms);
	if (_request.end() == field)
	{
		return std::nullopt;
	}
	return std::string_view(field->value().data(), field->value().size());
}

std::chrono::milliseconds timeout_of(
    const caller_request& _request, const route* _route, const header_names& _names)
{
	return request_timeout(
	    stated_timeout(_request, _names), nullptr == _route ? std::chrono::milliseconds(0) : _route->timeout);
}

caller_identity identify(const caller_request& _request, const route& _route,
    const customer_directory& _customers, const header_names& _names)
{
	if (!_customers.in_force())
	{
		return {};
	}
	if (const customer* holder = find_key_holder(_request, _customers, _names.api_key))
	{
		return {key_check::known, holder};
	}
	return {_route.needs_key ? key_check::refused : key_check::not_needed, nullptr};
}
} // namespace larkrack
