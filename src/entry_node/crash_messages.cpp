// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/crash_messages_p.h"

#include "base/cbor_p.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace larkrack
{
namespace
{
/// First field: identifies both the layout and the kind of message. Other values are rejected. The kinds are
/// numbered from here on, in the order of the alternatives of crash_message.
constexpr std::uint64_t k_first_layout = 109;
/// Fields: layout, head, content and caller of the request, and four values that depend on the kind.
constexpr std::size_t k_fields = 8;
/// First byte of a CBOR array of k_fields elements; no other datagram between nodes begins with it.
constexpr std::uint8_t k_first_byte = 0x80 + k_fields;
/// Flag bits of block_update.
constexpr std::uint64_t k_blocked_bit = 1;
constexpr std::uint64_t k_forward_bit = 2; ///< The receiver forwards the update.

/// Values of a message besides the fingerprint of its request. Unused ones are 0.
struct message_values
{
	std::uint64_t values[4] = {0, 0, 0, 0};
};

message_values values_of(const crash_report& _report)
{
	return {{_report.incarnation, _report.caller_only ? 1U : 0U}};
}

message_values values_of(const success_report&)
{
	return {};
}

message_values values_of(const block_update& _update)
{
	const std::uint64_t flags =
	    (_update.block.blocked ? k_blocked_bit : 0) | (_update.forwards_changes ? k_forward_bit : 0);
	return {{flags, _update.block.number, _update.block.trials, _update.block.versions}};
}

message_values values_of(const trial_request& _request)
{
	return {{_request.versions}};
}

message_values values_of(const trial_response& _answer)
{
	return {{_answer.granted ? 1U : 0U}};
}

message_values values_of(const trial_unused&)
{
	return {};
}

const request_fingerprint& request_of(const block_update& _update)
{
	return _update.block.request;
}

template <typename Message>
const request_fingerprint& request_of(const Message& _message)
{
	return _message.request;
}

crash_message message_of(
    std::uint64_t _layout, const request_fingerprint& _request, const message_values& _values)
{
	const auto value = [&_values](std::size_t _index)
	{
		return static_cast<std::uint32_t>(_values.values[_index]);
	};
	switch (_layout - k_first_layout)
	{
	case 0:
		return crash_report{_request, value(0), 0 != value(1)};
	case 1:
		return success_report{_request};
	case 2:
		return block_update{{_request, 0 != (value(0) & k_blocked_bit), value(1), value(2), value(3)},
		    0 != (value(0) & k_forward_bit)};
	case 3:
		return trial_request{_request, value(0)};
	case 4:
		return trial_response{_request, 0 != value(0)};
	default:
		return trial_unused{_request};
	}
}

bool is_uint32(const nlohmann::json& _field)
{
	return _field.is_number_unsigned() &&
	       _field.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}
} // namespace

std::vector<std::uint8_t> encode(const crash_message& _message)
{
	return std::visit(
	    [&_message](const auto& _one)
	    {
		    const request_fingerprint& request = request_of(_one);
		    const message_values values = values_of(_one);
		    const nlohmann::json document = {k_first_layout + _message.index(), request.head, request.content,
		        request.caller, values.values[0], values.values[1], values.values[2], values.values[3]};
		    return nlohmann::json::to_cbor(document);
	    },
	    _message);
}

bool is_crash_message(const std::uint8_t* _data, std::size_t _size)
{
	return _size > k_fields && k_first_byte == _data[0];
}

result<crash_message> decode_crash_message(const std::uint8_t* _data, std::size_t _size)
{
	const nlohmann::json document = parse_cbor(_data, _data + _size);
	const bool valid = document.is_array() && k_fields == document.size() && is_uint32(document[0]) &&
	                   document[1].is_number_unsigned() && document[2].is_number_unsigned() &&
	                   is_uint32(document[3]);
	if (!valid)
	{
		return error{"bad_crash_message", "not a crash message"};
	}
	message_values values;
	for (std::size_t i = 0; i < std::size(values.values); ++i)
	{
		if (!is_uint32(document[4 + i]))
		{
			return error{"bad_crash_message", "a field is not a 32-bit unsigned integer"};
		}
		values.values[i] = document[4 + i];
	}
	const std::uint64_t layout = document[0];
	if (layout < k_first_layout || layout >= k_first_layout + std::variant_size_v<crash_message>)
	{
		return error{"bad_crash_message", "unsupported layout"};
	}
	return message_of(layout, {document[1], document[2], document[3]}, values);
}
} // namespace larkrack
