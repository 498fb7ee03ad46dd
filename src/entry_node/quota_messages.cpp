// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/quota_messages_p.h"

#include "base/cbor_p.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace larkrack
{
namespace
{
/// First field: identifies both the layout and the kind of message. Other values are rejected.
constexpr int k_request_layout = 101;
constexpr int k_grant_layout = 102; ///< As above, for a grant.
/// Number of fields of either message.
constexpr std::size_t k_fields = 4;
/// First byte of a CBOR array of k_fields elements; no other datagram between nodes begins with it.
constexpr std::uint8_t k_first_byte = 0x80 + k_fields;

error decode_error(const char* _why)
{
	return {"bad_quota", _why};
}

bool is_count(std::int64_t _number)
{
	return _number >= 0 && _number <= std::numeric_limits<std::uint16_t>::max();
}
} // namespace

std::vector<std::uint8_t> encode(const quota_message& _message)
{
	if (const auto* request = std::get_if<quota_request>(&_message))
	{
		const nlohmann::json document = {
		    k_request_layout, request->customer, request->wanted, static_cast<int>(request->rank)};
		return nlohmann::json::to_cbor(document);
	}
	const auto& grant = std::get<quota_grant>(_message);
	const nlohmann::json document = {k_grant_layout, grant.customer, grant.granted, grant.wait.count()};
	return nlohmann::json::to_cbor(document);
}

bool is_quota_message(const std::uint8_t* _data, std::size_t _size)
{
	return _size > k_fields && k_first_byte == _data[0];
}

result<quota_message> decode_quota_message(const std::uint8_t* _data, std::size_t _size)
{
	const nlohmann::json document = parse_cbor(_data, _data + _size);
	if (document.is_discarded() || !document.is_array() || k_fields != document.size())
	{
		return decode_error("not a quota message");
	}
	for (const nlohmann::json& field : document)
	{
		if (!field.is_number_unsigned())
		{
			return decode_error("a field is not an unsigned integer");
		}
	}
	const auto layout = document[0].get<std::uint64_t>();
	const auto count = document[2].get<std::int64_t>();
	const auto last = document[3].get<std::int64_t>();
	if (!is_count(count) || !is_count(last))
	{
		return decode_error("a count is out of range");
	}
	if (k_grant_layout == layout)
	{
		quota_grant grant;
		grant.customer = document[1];
		grant.granted = static_cast<std::uint16_t>(count);
		grant.wait = std::chrono::milliseconds(last);
		return quota_message(grant);
	}
	if (k_request_layout != layout || count < 1 || last > static_cast<int>(lender_rank::backup))
	{
		return decode_error("unsupported layout");
	}
	quota_request request;
	request.customer = document[1];
	request.wanted = static_cast<std::uint16_t>(count);
	request.rank = static_cast<lender_rank>(last);
	return quota_message(request);
}
} // namespace larkrack
