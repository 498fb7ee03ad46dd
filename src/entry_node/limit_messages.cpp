// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/limit_messages_p.h"

#include "base/cbor_p.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace larkrack
{
namespace
{
/// First field: identifies both the layout and the kind of message. Other values are rejected.
constexpr int k_limit_layout = 106;
constexpr int k_request_layout = 107; ///< As above, for a token request.
constexpr int k_grant_layout = 108;   ///< As above, for a grant.
/// Fields: layout, incarnation of the backend server, number of tokens, rank of the lender or wait in
/// milliseconds, reported limit.
constexpr std::size_t k_fields = 5;
/// First byte of a CBOR array of k_fields elements; no other datagram between nodes begins with it.
constexpr std::uint8_t k_first_byte = 0x80 + k_fields;
/// A limit is sent as an integer in units of 1/k_limit_scale requests a second.
constexpr double k_limit_scale = 1000.0;
/// Maximum age of a reported limit, milliseconds.
constexpr std::uint64_t k_max_age_ms = 600000;

error decode_error(const char* _why)
{
	return {"bad_limit", _why};
}

/// @returns Array of the age in milliseconds and, if there is a limit, the scaled limit.
nlohmann::json limit_to_json(const limit_report& _limit, steady_time _now)
{
	const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(_now - _limit.report_time).count();
	nlohmann::json fields = nlohmann::json::array();
	fields.push_back(
	    std::clamp<std::uint64_t>(age < 0 ? 0 : static_cast<std::uint64_t>(age), 0, k_max_age_ms));
	if (_limit.per_s)
	{
		fields.push_back(static_cast<std::uint64_t>(std::llround(*_limit.per_s * k_limit_scale)));
	}
	return fields;
}

std::optional<limit_report> limit_of_json(const nlohmann::json& _fields, steady_time _now)
{
	const bool valid = _fields.is_array() && (1 == _fields.size() || 2 == _fields.size()) &&
	                   _fields[0].is_number_unsigned() && _fields[0].get<std::uint64_t>() <= k_max_age_ms;
	if (!valid)
	{
		return std::nullopt;
	}
	limit_report limit{std::nullopt, _now - std::chrono::milliseconds(_fields[0].get<std::int64_t>())};
	if (1 == _fields.size())
	{
		return limit;
	}
	if (!_fields[1].is_number_unsigned())
	{
		return std::nullopt;
	}
	const double per_s = _fields[1].get<double>() / k_limit_scale;
	if (per_s < k_min_limit_per_s || per_s > k_max_limit_per_s)
	{
		return std::nullopt;
	}
	limit.per_s = per_s;
	return limit;
}

bool is_count(const nlohmann::json& _field)
{
	return _field.is_number_unsigned() &&
	       _field.get<std::uint64_t>() <= std::numeric_limits<std::uint16_t>::max();
}
} // namespace

std::vector<std::uint8_t> encode(const limit_message& _message, steady_time _now)
{
	int layout = k_limit_layout;
	std::uint64_t count = 0;
	std::uint64_t last = 0;
	if (const auto* request = std::get_if<quota_request>(&_message.tokens))
	{
		layout = k_request_layout;
		count = request->wanted;
		last = static_cast<std::uint64_t>(request->rank);
	}
	else if (const auto* grant = std::get_if<quota_grant>(&_message.tokens))
	{
		layout = k_grant_layout;
		count = grant->granted;
		last = static_cast<std::uint64_t>(grant->wait.count());
	}
	const nlohmann::json document = {
	    layout, _message.incarnation, count, last, limit_to_json(_message.report, _now)};
	return nlohmann::json::to_cbor(document);
}

bool is_limit_message(const std::uint8_t* _data, std::size_t _size)
{
	return _size > k_fields && k_first_byte == _data[0];
}

result<limit_message> decode_limit_message(const std::uint8_t* _data, std::size_t _size, steady_time _now)
{
	const nlohmann::json document = parse_cbor(_data, _data + _size);
	if (document.is_discarded() || !document.is_array() || k_fields != document.size())
	{
		return decode_error("not a limit message");
	}
	if (!document[0].is_number_unsigned() || !document[1].is_number_unsigned() || !is_count(document[2]) ||
	    !is_count(document[3]))
	{
		return decode_error("a field is not a valid count");
	}
	const std::optional<limit_report> limit = limit_of_json(document[4], _now);
	if (!limit || document[1].get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
	{
		return decode_error("invalid limit or backend server incarnation");
	}
	limit_message message{document[1], *limit, {}};
	const auto layout = document[0].get<std::uint64_t>();
	const auto count = document[2].get<std::uint16_t>();
	const auto last = document[3].get<std::uint16_t>();
	if (k_request_layout == layout && count >= 1 && last <= static_cast<int>(lender_rank::backup))
	{
		message.tokens = quota_request{message.incarnation, count, static_cast<lender_rank>(last)};
	}
	else if (k_grant_layout == layout)
	{
		message.tokens = quota_grant{message.incarnation, count, std::chrono::milliseconds(last)};
	}
	else if (k_limit_layout != layout)
	{
		return decode_error("unsupported layout");
	}
	return message;
}
} // namespace larkrack
