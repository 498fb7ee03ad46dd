// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/relay_messages_p.h"

#include "base/answer_form_p.h"
#include "base/cbor_p.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace larkrack
{
namespace
{
using json = nlohmann::json;

// First field of each message: its layout. Other values are refused.
constexpr int k_request_layout = 201;
constexpr int k_result_layout = 202;
constexpr int k_query_layout = 203;
constexpr int k_report_layout = 204;
// Number of fields of each message.
constexpr std::size_t k_request_fields = 11;
constexpr std::size_t k_result_fields = 6;
constexpr std::size_t k_paths_fields = 2;
/// Maximum number of failure domains in a query or a report.
constexpr std::size_t k_max_domains = 4096;
/// An empty byte string.
constexpr char k_no_bytes = 0x40;
/// Maximum length of a name, bytes.
constexpr std::size_t k_max_name_bytes = 512;
/// Maximum time that a message may state, milliseconds: an hour, as for the timeouts of callers.
constexpr std::int64_t k_max_time_ms = 3600000;

// Bits of the flags of a request.
constexpr unsigned k_flag_head = 1;
constexpr unsigned k_flag_by_completion = 2;
constexpr unsigned k_flag_at_most_once = 4;
// Bits of the flags of a result.
constexpr unsigned k_flag_withheld = 1;
constexpr unsigned k_flag_slots_free = 2;
constexpr unsigned k_flag_connection_broke = 4;
constexpr unsigned k_flag_unreachable = 8;
constexpr unsigned k_flag_ends_by_close = 16;
constexpr unsigned k_flag_no_memory = 32;

error decode_error(const char* _why)
{
	return {"bad_relay_message", _why};
}

std::string to_text(const json& _message)
{
	std::string bytes;
	json::to_cbor(_message, bytes);
	return bytes;
}

json to_binary(const std::string& _bytes)
{
	return json::binary(std::vector<std::uint8_t>(_bytes.begin(), _bytes.end()));
}

/// A message as it was received.
struct split_message
{
	json document;    ///< Without the data of the byte string at its end.
	std::string tail; ///< That data.
};

split_message split(std::string&& _bytes)
{
	split_message message;
	const std::optional<cbor_bytes_place> place = last_cbor_bytes(_bytes);
	if (!place)
	{
		message.document = parse_cbor(_bytes.begin(), _bytes.end());
		return message;
	}
	std::string head = _bytes.substr(0, place->head);
	head += k_no_bytes;
	message.document = parse_cbor(head.begin(), head.end());
	message.tail = std::move(_bytes);
	message.tail.erase(0, place->data);
	return message;
}

std::string bytes_at(const json& _message, std::size_t _index)
{
	const std::vector<std::uint8_t>& bytes = _message.at(_index).get_binary();
	return {bytes.begin(), bytes.end()};
}

std::string name_at(const json& _message, std::size_t _index)
{
	auto name = _message.at(_index).get<std::string>();
	if (name.size() > k_max_name_bytes)
	{
		throw std::length_error("a name is too long");
	}
	return name;
}

std::int64_t time_at(const json& _message, std::size_t _index)
{
	const auto time = _message.at(_index).get<std::int64_t>();
	if (time < 0 || time > k_max_time_ms)
	{
		throw std::out_of_range("a time is out of range");
	}
	return time;
}

/// Parses the array of a message and passes it to a function, whose errors of type and range it reports.
template <typename Message, typename Function>
result<Message> decode(std::string _bytes, int _layout, std::size_t _fields, Function _read)
{
	split_message message = split(std::move(_bytes));
	const json& document = message.document;
	const bool valid = document.is_array() && _fields == document.size() &&
	                   document[0].is_number_unsigned() && _layout == document[0];
	if (!valid)
	{
		return decode_error("unsupported layout");
	}
	try
	{
		return _read(document, std::move(message.tail));
	}
	catch (const json::exception&)
	{
		return decode_error("a field has the wrong type");
	}
	catch (const std::logic_error&)
	{
		return decode_error("a field is out of range");
	}
}

/// @returns Whether it is exactly one request with that id whose body has a stated length.
bool is_one_request(const upstream_request& _request, const std::string& _id_header)
{
	static const std::string s_end_of_head = "\r\n\r\n";
	const std::size_t end = _request.after.find(s_end_of_head);
	if (std::string::npos == end)
	{
		return false;
	}
	const std::size_t body_at = end + s_end_of_head.size();
	upstream_request bare;
	bare.before = _request.before;
	bare.after = _request.after.substr(0, body_at);
	const std::string head = head_of_request(bare, _request.time_left);
	http::request_parser<http::empty_body> parser;
	parser.header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(head.size(), UINT32_MAX)));
	parser.body_limit(_request.after.size());
	beast::error_code failed;
	const std::size_t read = parser.put(asio::buffer(head), failed);
	return !failed && parser.is_header_done() && read == head.size() && !parser.chunked() &&
	       parser.content_length().value_or(0) == _request.after.size() - body_at &&
	       parser.get()[_id_header] == _request.request_id;
}

relay_request request_of_json(const json& _document, std::string&& _after)
{
	relay_request message;
	message.backend = backend_id(name_at(_document, 1));
	message.started_ms = _document.at(2).get<std::int64_t>();
	upstream_request& request = message.request;
	request.request_id = name_at(_document, 3);
	request.time_left = std::chrono::milliseconds(time_at(_document, 4));
	const auto flags = _document.at(5).get<unsigned>();
	request.head = 0 != (flags & k_flag_head);
	request.by_completion = 0 != (flags & k_flag_by_completion);
	request.at_most_once = 0 != (flags & k_flag_at_most_once);
	request.fingerprint.head = _document.at(6).get<std::uint64_t>();
	request.fingerprint.content = _document.at(7).get<std::uint64_t>();
	request.fingerprint.caller = _document.at(8).get<std::uint32_t>();
	request.before = bytes_at(_document, 9);
	request.after = std::move(_after);
	if (!_document.at(10).is_binary())
	{
		throw std::out_of_range("the request is no byte string");
	}
	request.relayed = true;
	return message;
}

json response_to_json(const std::optional<caller_response>& _response)
{
	json fields = json::array();
	if (!_response)
	{
		return fields;
	}
	fields.push_back(_response->result_int());
	json headers = json::array();
	for (const auto& field : *_response)
	{
		headers.push_back(std::string(field.name_string()));
		headers.push_back(to_binary(std::string(field.value())));
	}
	fields.push_back(std::move(headers));
	fields.push_back(to_binary("")); // The body follows behind the message.
	return fields;
}

std::optional<caller_response> response_of_json(const json& _fields, std::string&& _body)
{
	if (_fields.empty())
	{
		return std::nullopt;
	}
	const auto status = _fields.at(0).get<unsigned>();
	if (status < k_min_final_status || !is_answer_status(status))
	{
		throw std::out_of_range("no final status");
	}
	caller_response response(http::status::ok, 11);
	response.result(status);
	const json& headers = _fields.at(1);
	for (std::size_t i = 0; i + 1 < headers.size(); i += 2)
	{
		const auto name = headers.at(i).get<std::string>();
		const std::string value = bytes_at(headers, i + 1);
		if (!is_answer_field(name, value))
		{
			throw std::out_of_range("no field of an answer");
		}
		response.insert(name, value);
	}
	if (!_fields.at(2).is_binary())
	{
		throw std::out_of_range("the body is no byte string");
	}
	response.body() = std::move(_body);
	return response;
}

relay_result result_of_json(const json& _document, std::string&& _body)
{
	relay_result message;
	const auto end = _document.at(1).get<unsigned>();
	if (end > static_cast<unsigned>(k_last_exchange_outcome))
	{
		throw std::out_of_range("unknown outcome");
	}
	message.result.end = static_cast<exchange_outcome>(end);
	message.result.detail = name_at(_document, 2);
	const auto flags = _document.at(3).get<unsigned>();
	message.result.withheld = 0 != (flags & k_flag_withheld);
	message.result.slots_free = 0 != (flags & k_flag_slots_free);
	message.result.connection_broke = 0 != (flags & k_flag_connection_broke);
	message.unreachable = 0 != (flags & k_flag_unreachable);
	message.result.no_memory = 0 != (flags & k_flag_no_memory);
	message.result.framing =
	    0 != (flags & k_flag_ends_by_close) ? response_framing::by_close : response_framing::by_length;
	message.taken = std::chrono::microseconds(_document.at(4).get<std::uint32_t>());
	message.result.response = response_of_json(_document.at(5), std::move(_body));
	const bool answered = exchange_outcome::answered == message.result.end;
	if (answered && !message.result.response)
	{
		throw std::out_of_range("answered without a response");
	}
	return message;
}
} // namespace

std::string bytes_of_request(const upstream_request& _request, std::chrono::milliseconds _time_left)
{
	std::string bytes = head_of_request(_request, _time_left);
	bytes += _request.body ? *_request.body : "";
	return bytes;
}

std::string head_of_request(const upstream_request& _request, std::chrono::milliseconds _time_left)
{
	std::string bytes;
	const std::string time = std::to_string(std::max<std::int64_t>(1, _time_left.count()));
	bytes.reserve(_request.before.size() + time.size() + _request.after.size());
	bytes += _request.before;
	bytes += time;
	bytes += _request.after;
	return bytes;
}

std::string encode(const relay_request& _message)
{
	std::string bytes = encode_without_body(_message);
	bytes += _message.request.body ? *_message.request.body : "";
	return bytes;
}

std::string encode_without_body(const relay_request& _message)
{
	const upstream_request& request = _message.request;
	const unsigned flags = (request.head ? k_flag_head : 0) |
	                       (request.by_completion ? k_flag_by_completion : 0) |
	                       (request.at_most_once ? k_flag_at_most_once : 0);
	std::string message = to_text({k_request_layout, _message.backend.text, _message.started_ms,
	    request.request_id, request.time_left.count(), flags, request.fingerprint.head,
	    request.fingerprint.content, request.fingerprint.caller, to_binary(request.before), to_binary("")});
	const std::size_t body_bytes = request.body ? request.body->size() : 0;
	return with_cbor_bytes_head(std::move(message), request.after.size() + body_bytes) + request.after;
}

result<relay_request> decode_relay_request(std::string _bytes, const std::string& _request_id_header)
{
	result<relay_request> decoded =
	    decode<relay_request>(std::move(_bytes), k_request_layout, k_request_fields, request_of_json);
	const relay_request* message = value_of(decoded);
	if (nullptr == message)
	{
		return decoded;
	}
	if (!is_one_request(message->request, _request_id_header))
	{
		return decode_error("not exactly one request");
	}
	return decoded;
}

std::string encode(relay_result _message)
{
	const exchange_result& result = _message.result;
	const unsigned flags =
	    (result.withheld ? k_flag_withheld : 0) | (result.slots_free ? k_flag_slots_free : 0) |
	    (result.connection_broke ? k_flag_connection_broke : 0) |
	    (_message.unreachable ? k_flag_unreachable : 0) | (result.no_memory ? k_flag_no_memory : 0) |
	    (response_framing::by_close == result.framing ? k_flag_ends_by_close : 0);
	const std::uint64_t taken =
	    std::min<std::uint64_t>(UINT32_MAX, static_cast<std::uint64_t>(_message.taken.count()));
	std::string bytes = to_text({k_result_layout, static_cast<unsigned>(result.end), result.detail, flags,
	    taken, response_to_json(result.response)});
	if (!result.response)
	{
		return bytes;
	}
	std::string body = std::move(_message.result.response->body());
	body.insert(0, with_cbor_bytes_head(std::move(bytes), body.size()));
	return body;
}

result<relay_result> decode_relay_result(std::string _bytes)
{
	return decode<relay_result>(std::move(_bytes), k_result_layout, k_result_fields, result_of_json);
}

std::string encode_path_query(const std::vector<domain_name>& _domains)
{
	json names = json::array();
	for (const domain_name& domain : _domains)
	{
		names.push_back(domain.text);
	}
	return to_text({k_query_layout, std::move(names)});
}

result<std::vector<domain_name>> decode_path_query(const std::string& _bytes)
{
	return decode<std::vector<domain_name>>(_bytes, k_query_layout, k_paths_fields,
	    [](const json& _document, const std::string&)
	    {
		    std::vector<domain_name> domains;
		    const json& names = _document.at(1);
		    for (std::size_t i = 0; i < std::min(names.size(), k_max_domains); ++i)
		    {
			    domains.emplace_back(name_at(names, i));
		    }
		    return domains;
	    });
}

std::string encode(const path_report& _report)
{
	json fields = json::array();
	for (const auto& [domain, ages] : _report)
	{
		fields.push_back(domain.text);
		fields.push_back(std::clamp<std::int64_t>(ages.contact.count(), 0, k_max_time_ms));
		fields.push_back(std::clamp<std::int64_t>(ages.response.count(), 0, k_max_time_ms));
	}
	return to_text({k_report_layout, std::move(fields)});
}

result<path_report> decode_path_report(const std::string& _bytes)
{
	return decode<path_report>(_bytes, k_report_layout, k_paths_fields,
	    [](const json& _document, const std::string&)
	    {
		    path_report report;
		    const json& fields = _document.at(1);
		    for (std::size_t i = 0; i + 2 < std::min(fields.size(), 3 * k_max_domains); i += 3)
		    {
			    report[domain_name(name_at(fields, i))] = {std::chrono::milliseconds(time_at(fields, i + 1)),
			        std::chrono::milliseconds(time_at(fields, i + 2))};
		    }
		    return report;
	    });
}
} // namespace larkrack
