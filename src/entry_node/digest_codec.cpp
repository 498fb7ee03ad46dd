// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/digest_codec_p.h"

#include "entry_node/deflate_p.h"
#include "entry_node/heartbeat_p.h"

#include "base/cbor_p.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace larkrack
{
namespace
{
/// First byte of a digest. It doesn't begin a CBOR array, so no other datagram between nodes begins with it.
constexpr std::uint8_t k_first_byte = 0x01;
/// First field, the layout of the message; other values are rejected.
constexpr int k_layout = 105;
/// Number of fields of one part of a digest.
constexpr std::size_t k_fields = 5;
/// Number of fields of a row.
constexpr std::size_t k_row_fields = 2;
/// Maximum decompressed size of a part, bytes.
constexpr std::size_t k_max_bytes = 65536;
/// Maximum age of a row, milliseconds: digests omit nodes that were silent for longer.
constexpr std::int64_t k_max_age_ms = 600000;

error decode_error(const char* _why)
{
	return {"bad_digest", _why};
}

bool read_row(const nlohmann::json& _row, const domain_digest& _digest, digest_row& _read)
{
	const bool valid = _row.is_array() && k_row_fields == _row.size() && _row[0].is_number_unsigned() &&
	                   _row[0].get<std::uint64_t>() <= k_max_age_ms && _row[1].is_binary();
	if (!valid)
	{
		return false;
	}
	const std::vector<std::uint8_t>& bytes = _row[1].get_binary();
	result<node_heartbeat> decoded = decode_heartbeat(bytes.data(), bytes.size());
	node_heartbeat* heartbeat = std::get_if<node_heartbeat>(&decoded);
	if (nullptr == heartbeat || heartbeat->domain != _digest.domain || heartbeat->region != _digest.region)
	{
		return false; // A failure domain may report its own nodes only.
	}
	_read.last = std::move(*heartbeat);
	_read.age = std::chrono::milliseconds(_row[0].get<std::int64_t>());
	return true;
}
} // namespace

std::vector<std::uint8_t> encode(const domain_digest& _digest)
{
	nlohmann::json rows = nlohmann::json::array();
	for (const digest_row& row : _digest.rows)
	{
		rows.push_back({row.age.count(), nlohmann::json::binary(encode(row.last))});
	}
	const nlohmann::json document = {
	    k_layout, _digest.domain.text, _digest.region.text, _digest.number, std::move(rows)};
	const std::string packed = deflate_bytes(nlohmann::json::to_cbor(document));
	std::vector<std::uint8_t> bytes(1 + packed.size());
	bytes.front() = k_first_byte;
	std::copy(packed.begin(), packed.end(), bytes.begin() + 1);
	return bytes;
}

bool is_domain_digest(const std::uint8_t* _data, std::size_t _size)
{
	return _size > 1 && k_first_byte == _data[0];
}

result<domain_digest> decode_domain_digest(const std::uint8_t* _data, std::size_t _size)
{
	if (!is_domain_digest(_data, _size))
	{
		return decode_error("not a digest");
	}
	const std::string_view packed(reinterpret_cast<const char*>(_data) + 1, _size - 1);
	result<std::vector<std::uint8_t>> bytes = inflate_bytes(packed, k_max_bytes);
	if (nullptr == value_of(bytes))
	{
		return decode_error("the digest can't be decompressed");
	}
	const nlohmann::json document = parse_cbor(value_of(bytes)->begin(), value_of(bytes)->end());
	const bool valid = document.is_array() && k_fields == document.size() && k_layout == document[0] &&
	                   document[1].is_string() && document[2].is_string() &&
	                   document[3].is_number_unsigned() && document[4].is_array();
	if (!valid)
	{
		return decode_error("unsupported layout");
	}
	domain_digest digest;
	digest.domain = domain_name(document[1]);
	digest.region = region_name(document[2]);
	digest.number = document[3];
	for (const nlohmann::json& row : document[4])
	{
		digest_row decoded;
		if (!read_row(row, digest, decoded))
		{
			return decode_error("invalid row");
		}
		digest.rows.push_back(std::move(decoded));
	}
	return digest;
}
} // namespace larkrack
