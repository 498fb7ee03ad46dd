// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/deflate_p.h"

#include <boost/beast/zlib.hpp>

#include <algorithm>

namespace larkrack
{
namespace
{
namespace zlib = boost::beast::zlib;

/// Compression level, 0 to 9. Higher: a few bytes less for several times the processor time.
constexpr int k_compression_level = 1;
/// Window size as log2 of bytes: 32 KB. Compressor and decompressor use the same.
constexpr int k_window_bits = 15;
/// Memory of the compressor, 1 to 9: level 8 takes 128 KB.
constexpr int k_memory_level = 8;
/// Bytes by which the output buffer of the decompressor grows.
constexpr std::size_t k_output_step = 65536;
/// Bytes behind the input. The decompressor looks up to 15 bits ahead, also where the code that ends the
/// stream is shorter and stands in the last byte.
constexpr std::size_t k_look_ahead_bytes = 2;
/// Bits of z_params::data_type with the number of bits that were taken from the input and not used.
constexpr int k_unused_bits_mask = 63;

/// @returns Bytes of the input that hold the stream, once it has ended.
std::size_t stream_bytes(const zlib::z_params& _parameters)
{
	return _parameters.total_in - static_cast<std::size_t>(_parameters.data_type & k_unused_bits_mask) / 8;
}
} // namespace

std::string deflate_bytes(const std::vector<std::uint8_t>& _bytes)
{
	zlib::deflate_stream stream;
	stream.reset(k_compression_level, k_window_bits, k_memory_level, zlib::Strategy::normal);
	std::string packed(zlib::deflate_upper_bound(_bytes.size()), '\0');
	zlib::z_params parameters;
	parameters.next_in = _bytes.data();
	parameters.avail_in = _bytes.size();
	parameters.next_out = packed.data();
	parameters.avail_out = packed.size();
	boost::system::error_code ended; // Set to end_of_stream; deflate_upper_bound() makes the output fit.
	stream.write(parameters, zlib::Flush::finish, ended);
	packed.resize(parameters.total_out);
	return packed;
}

result<std::vector<std::uint8_t>> inflate_bytes(std::string_view _packed, std::size_t _max_bytes)
{
	zlib::inflate_stream stream;
	stream.reset(k_window_bits);
	std::vector<std::uint8_t> bytes;
	const std::string input = std::string(_packed) + std::string(k_look_ahead_bytes, '\0');
	zlib::z_params parameters;
	parameters.next_in = input.data();
	parameters.avail_in = input.size();
	boost::system::error_code ended;
	while (!ended && parameters.total_out < _max_bytes)
	{
		bytes.resize(std::min(_max_bytes, parameters.total_out + k_output_step));
		parameters.next_out = bytes.data() + parameters.total_out;
		parameters.avail_out = bytes.size() - parameters.total_out;
		const std::size_t before = parameters.total_out;
		stream.write(parameters, zlib::Flush::sync, ended);
		if (!ended && before == parameters.total_out)
		{
			break; // No progress: the input is truncated.
		}
	}
	if (zlib::error::end_of_stream != ended || stream_bytes(parameters) > _packed.size())
	{
		return error{"bad_bytes", "deflate stream is invalid, truncated or larger than permitted"};
	}
	bytes.resize(parameters.total_out);
	return bytes;
}
} // namespace larkrack
