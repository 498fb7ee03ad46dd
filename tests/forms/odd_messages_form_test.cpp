// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Messages and documents of other processes with random changes: each decoder gives a value or an error. It
/// neither throws nor uses up the stack.

#include "forms/golden.h"

#include "entry_node/crash_messages_p.h"
#include "entry_node/deflate_p.h"
#include "entry_node/digest_codec_p.h"
#include "entry_node/heartbeat_p.h"
#include "entry_node/limit_messages_p.h"
#include "entry_node/quota_messages_p.h"
#include "entry_node/relay_messages_p.h"
#include "entry_node/rollout_messages_p.h"
#include "entry_node/store_changes_codec_p.h"

#include "platform_dialect_p.h"
#include "store_answer_p.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <random>

namespace larkrack
{
namespace
{
constexpr int k_variants = 1500;            ///< Of each message.
constexpr std::size_t k_deep = 100000;      ///< Containers within containers.
constexpr std::size_t k_max_cut_bytes = 12; ///< That are removed at once.

const char* const k_heartbeat =
    "9205626e311b00060a24181e400119012c66656173742d6164656173746831302e302e302e316b31302e302e302e313a3830"
    "02111a00011170a26566696c6573fb3fb999999999999a6473686f70fa41480000826831302e302e302e326831302e302e30"
    "2e33a16473686f70a26465617374fa410000006477657374fa40900000841adeadbeef030700f418fa8207182e";
const char* const k_changes =
    "8618661a00011170f51a0001117382836a736572766572732f6231677b2261223a317d1a0001117183696f702f636f6e6669"
    "67601a0001117382826a736572766572732f62321a00011172826a736572766572732f623300";
const char* const k_routes =
    R"({"Version":"v17","Routes":[{"Name":"pay","Host":"a","PathPrefix":"/","Kind":"idempotent",)"
    R"("TimeoutMs":2000,"ObjectiveMs":400,"Priority":2,"MaxAttempts":3,"HomeRegions":["east"],)"
    R"("Split":[{"Service":"shop","Weight":0.5}]}],"Services":[{"Name":"shop","MaxConns":4,"WarmupS":1.5,)"
    R"("WarmupPerS":2.5}],"Limits":{"MaxHeaderBytes":2048,"MaxBodyBytes":9,"HeaderTimeoutMs":3,)"
    R"("IdleTimeoutMs":7},"Tenants":[{"Name":"t","Priority":1,"RatePerS":5,"Burst":2,"ApiKeys":["k"]}]})";
const char* const k_backend =
    R"({"Address":"10.0.1.1:8080","Info":{"Service":"shop","Version":"v1","Zone":"east-a","Slots":4},)"
    R"("Status":{"State":"ready","CallSeq":4,"WarmupLeftMs":0},"born":1796083200123})";
const char* const k_store_answer =
    R"({"at":7,"ttl_ms":900,"more":false,"items":[{"Key":"a","Value":"b","Revision":3,"lease":2}],)"
    R"("events":[{"Key":"a","gone":true,"Revision":4}]})";

/// What a decoder makes of bytes, and a valid message for it.
struct decoder
{
	const char* name;
	std::string sound;
	std::function<bool(const std::string&)> reads; ///< Whether it gives a value.
	bool is_text = false;
};

std::string text_of(const std::vector<std::uint8_t>& _bytes)
{
	return {_bytes.begin(), _bytes.end()};
}

/// @returns A decoder of bytes, from a function of their address and size.
template <typename Function>
std::function<bool(const std::string&)> of_bytes(Function _decode)
{
	return [_decode](const std::string& _message)
	{
		auto decoded = _decode(reinterpret_cast<const std::uint8_t*>(_message.data()), _message.size());
		return nullptr != value_of(decoded);
	};
}

relay_request relayed()
{
	relay_request message;
	message.backend = backend_id("b1");
	message.request.request_id = "r1";
	message.request.time_left = std::chrono::milliseconds(900);
	message.request.before =
	    "POST /pay/1 HTTP/1.1\r\nHost: a\r\nLarkrack-Request-Id: r1\r\nLarkrack-Deadline-Ms: ";
	message.request.after = "\r\nContent-Length: 2\r\n\r\nok";
	return message;
}

relay_result relayed_result()
{
	relay_result message;
	message.result.end = exchange_outcome::answered;
	message.result.response = caller_response(http::status::created, 11);
	message.result.response->set("Larkrack-Signature", "s");
	message.result.response->body() = "ok";
	return message;
}

domain_digest digest()
{
	domain_digest some;
	some.domain = domain_name("east-a");
	some.region = region_name("east");
	some.number = 7;
	return some;
}

/// @returns A digest before its compression.
std::string plain_digest()
{
	const std::string packed = text_of(encode(digest()));
	result<std::vector<std::uint8_t>> plain = inflate_bytes(std::string_view(packed).substr(1), 1U << 20U);
	return text_of(*value_of(plain));
}

bool reads_digest(const std::string& _plain)
{
	const std::string packed = text_of(encode(digest())).substr(0, 1) +
	                           deflate_bytes(std::vector<std::uint8_t>(_plain.begin(), _plain.end()));
	result<domain_digest> decoded =
	    decode_domain_digest(reinterpret_cast<const std::uint8_t*>(packed.data()), packed.size());
	return nullptr != value_of(decoded);
}

std::vector<decoder> decoders_of_messages()
{
	const auto limit = [](const std::uint8_t* _data, std::size_t _size)
	{
		return decode_limit_message(_data, _size, steady_time{});
	};
	const auto page = [](const std::uint8_t* _data, std::size_t _size)
	{
		return decode_state_page({_data, _data + _size}, "");
	};
	const auto reads = [](auto _decode)
	{
		return [_decode](const std::string& _message)
		{
			auto decoded = _decode(_message);
			return nullptr != value_of(decoded);
		};
	};
	const auto request = [](const std::string& _message)
	{
		return decode_relay_request(_message, "Larkrack-Request-Id");
	};
	return {
	    {"heartbeat", text_of(from_hex(k_heartbeat)), of_bytes(decode_heartbeat)},
	    {"changes", text_of(from_hex(k_changes)), of_bytes(decode_store_changes)},
	    {"page", text_of(encode(state_page{5, false, {{"b", "x", 1, 0}}})), of_bytes(page)},
	    {"quota", text_of(encode(quota_request{7, 257, lender_rank::backup})),
	        of_bytes(decode_quota_message)},
	    {"limit", text_of(from_hex("85186b0703018200190b54")), of_bytes(limit)},
	    {"crash", text_of(encode(crash_report{{1, 2, 3}, 9, true})), of_bytes(decode_crash_message)},
	    {"rollout", text_of(encode(rollout_report())), of_bytes(decode_rollout_report)},
	    {"digest", plain_digest(), reads_digest},
	    {"relayed request", encode(relayed()), reads(request)},
	    {"relayed result", encode(relayed_result()), reads(decode_relay_result)},
	    {"path query", encode_path_query({domain_name("a"), domain_name("b")}), reads(decode_path_query)},
	    {"path report", encode(path_report{{domain_name("a"), {}}}), reads(decode_path_report)},
	};
}

std::vector<decoder> decoders_of_documents()
{
	/// @returns A decoder of the values that stand under a key.
	const auto under = [](const char* _key, auto _decode)
	{
		return [_key, _decode](const std::string& _document)
		{
			const auto decoded = (platform_codec().*_decode)(store_value{_key, _document, 3, 0});
			return !std::holds_alternative<error>(decoded);
		};
	};
	const auto routes = [](const std::string& _document)
	{
		return !std::holds_alternative<error>(platform_codec().decode_routes(_document));
	};
	const auto backend = [](const std::string& _document)
	{
		return !std::holds_alternative<error>(platform_codec().decode_backend("servers/shop/b1", _document));
	};
	const auto answer = [](const std::string& _document)
	{
		const nlohmann::json body = nlohmann::json::parse(_document, nullptr, false);
		return !body.is_discarded() && is_store_answer(body);
	};
	return {
	    {"configuration", k_routes, routes, true},
	    {"entry of a backend server", k_backend, backend, true},
	    {"roll-out", R"({"Service":"shop","TargetVersion":"v2","DurationS":12.5})",
	        under("op/rollout/shop", &platform_codec::decode_rollout), true},
	    {"status of a roll-out",
	        *platform_codec()
	             .rollout_status_write(
	                 {service_name("shop"), version_name("v2"), rollout_state::rolled_back, 0})
	             .value,
	        under("status/rollout/shop", &platform_codec::decode_rollout_status), true},
	    {"blocked request", R"({"Head":"99","Number":3,"Trials":1})",
	        under("status/blocked/99-1", &platform_codec::decode_block), true},
	    {"answer of the store", k_store_answer, answer, true},
	};
}

/// Makes odd messages of sound ones. The same on each kind of processor: the library's distributions are not.
class odd_maker
{
public:
	std::string change(std::string _message, bool _is_text)
	{
		const std::size_t changes = 1 + below(3);
		for (std::size_t i = 0; i < changes && !_message.empty(); ++i)
		{
			change_once(_message, _is_text);
		}
		return _message;
	}

private:
	std::size_t below(std::size_t _bound)
	{
		return m_random() % _bound;
	}
	void change_once(std::string& _message, bool _is_text)
	{
		const std::size_t at = below(_message.size());
		switch (below(_is_text ? 6 : 5))
		{
		case 0:
			_message[at] = static_cast<char>(m_random());
			return;
		case 1:
			_message.erase(at, 1 + below(k_max_cut_bytes));
			return;
		case 2:
			_message.resize(at);
			return;
		case 3: // A part that stands there twice.
			_message.insert(at, _message.substr(at, 1 + below(k_max_cut_bytes)));
			return;
		case 4:
			_message.insert(at, odd_part(_is_text));
			return;
		default:
			replace_value(_message, at);
			return;
		}
	}
	std::string odd_part(bool _is_text)
	{
		static const std::vector<std::string> s_texts = {"[]", "{}", "null", "-1", "1e400", "1e300",
		    "18446744073709551616", "9223372036854775808", "70000", "0.5", "\"\"", "true",
		    std::string(k_deep, '['), std::string(k_deep, '[') + std::string(k_deep, ']')};
		static const std::vector<std::string> s_bytes = {std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
		    std::string("\x1b\xff\xff\xff\xff\xff\xff\xff\xff"),
		    std::string("\xfb\x7e\x37\xe4\x3c\x88\x01\x75"),
		    std::string("\x5b\xff\xff\xff\xff\xff\xff\xff\xff"), std::string("\x9f"), std::string("\xbf"),
		    std::string("\xff"), std::string{'\xf9', '\x7e', '\0'}, std::string(k_deep, '\x81'),
		    std::string(k_deep, '\xc1')};
		const std::vector<std::string>& parts = _is_text ? s_texts : s_bytes;
		return parts[below(parts.size())];
	}
	/// Puts an odd value in the place of the next one of a JSON document.
	void replace_value(std::string& _message, std::size_t _at)
	{
		const std::size_t colon = _message.find(':', _at);
		if (std::string::npos == colon)
		{
			return;
		}
		const std::size_t end = std::min(_message.find_first_of(",}", colon), _message.size());
		_message.replace(colon + 1, end - colon - 1, odd_part(true));
	}

	std::mt19937 m_random{20261207};
};
} // namespace

class odd_messages_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(odd_messages_form_test);
	CPPUNIT_TEST(odd_messages_of_nodes_give_a_value_or_an_error);
	CPPUNIT_TEST(odd_documents_of_the_store_give_a_value_or_an_error);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards against messages that end the node which reads them.
	void odd_messages_of_nodes_give_a_value_or_an_error()
	{
		play(decoders_of_messages());
	}
	/// Guards against documents of another writer that end the node which reads them.
	void odd_documents_of_the_store_give_a_value_or_an_error()
	{
		play(decoders_of_documents());
	}

	static void play(const std::vector<decoder>& _decoders)
	{
		odd_maker odd;
		for (const decoder& one : _decoders)
		{
			CPPUNIT_ASSERT_MESSAGE(one.name, one.reads(one.sound));
			int refused = 0;
			for (int i = 0; i < k_variants; ++i)
			{
				const std::string message = odd.change(one.sound, one.is_text);
				CPPUNIT_ASSERT_NO_THROW_MESSAGE(
				    one.name + (" " + std::to_string(i)), refused += one.reads(message) ? 0 : 1);
			}
			CPPUNIT_ASSERT_MESSAGE(one.name, refused > 0);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_messages_form_test);
} // namespace larkrack
