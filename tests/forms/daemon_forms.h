// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Helpers of the tests that pin larkrackd's forms: the exact bytes and texts that leave its processes. The
/// expected texts are literals recorded from a run; none of them is computed by the code under test.
#pragma once

#include "fixtures.h"

#include <exception>
#include <regex>
#include <string>
#include <vector>

namespace larkrack
{
/// @returns The bytes as hexadecimal digits.
template <typename Bytes>
std::string bytes_to_hex(const Bytes& _bytes)
{
	static const char* const s_digits = "0123456789abcdef";
	std::string hex;
	for (const auto byte : _bytes)
	{
		hex += s_digits[static_cast<unsigned char>(byte) >> 4];
		hex += s_digits[static_cast<unsigned char>(byte) & 15];
	}
	return hex;
}

/// @returns The bytes that hexadecimal digits stand for.
inline std::string bytes_from_hex(const std::string& _hex)
{
	std::string bytes;
	for (std::size_t at = 0; at + 1 < _hex.size(); at += 2)
	{
		bytes += static_cast<char>(std::stoi(_hex.substr(at, 2), nullptr, 16));
	}
	return bytes;
}

/// Asserts that a text equals the recorded one. A line end at the very start of the literal is left out.
inline void assert_same_text(const std::string& _expected, const std::string& _actual)
{
	const bool starts_on_own_line = !_expected.empty() && '\n' == _expected.front();
	CPPUNIT_ASSERT_EQUAL(starts_on_own_line ? _expected.substr(1) : _expected, _actual);
}

/// @returns The text with each match of a pattern replaced, for parts that differ from run to run.
inline std::string masked(const std::string& _text, const char* _pattern, const char* _mask)
{
	return std::regex_replace(_text, std::regex(_pattern), _mask);
}

/// Runs a coroutine until it returns; a failed assertion in the coroutine fails the test.
template <typename Function>
void run_coroutine(asio::io_context& _context, Function _function)
{
	bool ended = false;
	std::exception_ptr failure;
	start(_context,
	    [&](const yield_context& _yield)
	    {
		    try
		    {
			    _function(_yield);
		    }
		    catch (const CppUnit::Exception&)
		    {
			    failure = std::current_exception();
		    }
		    ended = true;
	    });
	run_until(_context,
	    [&]
	    {
		    return ended;
	    });
	if (failure)
	{
		std::rethrow_exception(failure);
	}
}

/// Keeps an object until the process exits. Suspended coroutines of a node that is shut down still refer to
/// their context and to the objects that they use, so these must not be destroyed before the coroutines.
template <typename T>
T& keep_until_exit(std::unique_ptr<T> _object)
{
	static auto* const s_kept = new std::vector<T*>;
	s_kept->push_back(_object.release());
	return *s_kept->back();
}

/// @returns A port of the loopback address that is currently free.
inline std::uint16_t free_port(asio::io_context& _context)
{
	tcp::acceptor taken(_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
	return taken.local_endpoint().port();
}
} // namespace larkrack
