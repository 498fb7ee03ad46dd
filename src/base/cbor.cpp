// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/cbor_p.h"

#include <array>

namespace larkrack
{
namespace
{
/// Maximum depth of items within items. Deeper ones are left to the library.
constexpr int k_max_depth = 8;

// Major types, and the values of the lower bits that state how long the argument is.
constexpr unsigned k_negative = 1;
constexpr unsigned k_bytes = 2;
constexpr unsigned k_text = 3;
constexpr unsigned k_array = 4;
constexpr unsigned k_map = 5;
constexpr unsigned k_tag = 6;
constexpr unsigned k_simple = 7;
constexpr unsigned k_one_byte = 24;
constexpr unsigned k_eight_bytes = 27;
constexpr unsigned k_unstated_length = 31;

/// Head of one item.
struct item_head
{
	unsigned major = 0;
	std::uint64_t argument = 0;
	std::size_t end = 0; ///< Behind the head.
};

std::optional<item_head> head_at(std::string_view _message, std::size_t _at)
{
	if (_at >= _message.size())
	{
		return std::nullopt;
	}
	const unsigned first = static_cast<unsigned char>(_message[_at]);
	item_head head{first >> 5U, first & 31U, _at + 1};
	if (head.argument < k_one_byte)
	{
		return head;
	}
	if (head.argument > k_eight_bytes)
	{
		return std::nullopt;
	}
	const std::size_t size = std::size_t{1} << (head.argument - k_one_byte);
	if (_message.size() - head.end < size)
	{
		return std::nullopt;
	}
	head.argument = 0;
	for (std::size_t i = 0; i < size; ++i)
	{
		head.argument = head.argument << 8U | static_cast<unsigned char>(_message[head.end + i]);
	}
	head.end += size;
	return head;
}

/// @returns The place behind an item; nothing: it is malformed, or of a kind that larkrack does not write.
std::optional<std::size_t> skip_item(std::string_view _message, std::size_t _at, int _depth)
{
	const std::optional<item_head> head = head_at(_message, _at);
	if (!head || 0 == _depth)
	{
		return std::nullopt;
	}
	if (head->major <= k_negative || k_simple == head->major)
	{
		return head->end;
	}
	if (k_bytes == head->major || k_text == head->major)
	{
		const bool is_whole = head->argument <= _message.size() - head->end;
		return is_whole ? std::optional<std::size_t>(head->end + head->argument) : std::nullopt;
	}
	if (k_array != head->major)
	{
		return std::nullopt;
	}
	std::optional<std::size_t> at = head->end;
	for (std::uint64_t i = 0; at && i < head->argument; ++i)
	{
		at = skip_item(_message, *at, _depth - 1);
	}
	return at;
}
/// Items that follow inside of a container whose length is not stated; a break ends it.
constexpr std::uint64_t k_until_break = UINT64_MAX;

/// @returns Whether the head at a place leaves the length of its item open, or is a break.
bool is_unstated(std::string_view _message, std::size_t _at)
{
	return k_unstated_length == (static_cast<unsigned char>(_message[_at]) & k_unstated_length);
}

/// @returns Items that follow inside of one with that head; 0: none, it ends behind its data.
std::uint64_t items_inside(const item_head& _head, bool _unstated)
{
	const std::uint64_t stated = _unstated ? k_until_break : _head.argument;
	switch (_head.major)
	{
	case k_tag:
		return 1;
	case k_array:
		return stated;
	case k_map:
		return stated > k_until_break / 2 ? k_until_break : 2 * stated;
	case k_bytes:
	case k_text:
		return _unstated ? k_until_break : 0; // Its pieces are items.
	default:
		return 0;
	}
}

/// Containers that are open at a place of a message.
class open_containers
{
public:
	/// @returns Whether there was room for one more.
	bool begin(std::uint64_t _items)
	{
		if (k_max_cbor_depth == m_depth)
		{
			return false;
		}
		m_due[m_depth++] = _items;
		return true;
	}
	void end_innermost()
	{
		m_depth -= m_depth > 0 ? 1 : 0;
	}
	/// An item has ended, and with it each container whose last one it was.
	void end_item()
	{
		while (m_depth > 0 && 0 == --m_due[m_depth - 1])
		{
			--m_depth;
		}
	}

private:
	std::array<std::uint64_t, k_max_cbor_depth> m_due{}; ///< Items that each one still lacks.
	std::size_t m_depth = 0;
};
} // namespace

bool has_bounded_depth(std::string_view _message)
{
	open_containers open;
	std::size_t at = 0;
	while (at < _message.size())
	{
		const bool unstated = is_unstated(_message, at);
		const unsigned major = static_cast<unsigned char>(_message[at]) >> 5U;
		const std::optional<item_head> head = unstated ? item_head{major, 0, at + 1} : head_at(_message, at);
		if (!head)
		{
			return true; // Malformed: the library stops here as well.
		}
		const bool has_data = !unstated && (k_bytes == major || k_text == major);
		if (has_data && head->argument > _message.size() - head->end)
		{
			return true;
		}
		at = head->end + (has_data ? head->argument : 0);
		const std::uint64_t inside = items_inside(*head, unstated);
		if (inside > 0)
		{
			if (!open.begin(inside))
			{
				return false;
			}
			continue;
		}
		if (unstated && k_simple == major)
		{
			open.end_innermost();
		}
		open.end_item();
	}
	return true;
}

std::optional<cbor_bytes_place> last_cbor_bytes(std::string_view _message)
{
	std::size_t at = 0;
	for (int depth = k_max_depth; depth > 0; --depth)
	{
		const std::optional<item_head> head = head_at(_message, at);
		if (!head)
		{
			return std::nullopt;
		}
		if (k_bytes == head->major)
		{
			const bool is_last = head->argument == _message.size() - head->end;
			return is_last ? std::optional<cbor_bytes_place>({at, head->end}) : std::nullopt;
		}
		if (k_array != head->major || 0 == head->argument)
		{
			return std::nullopt;
		}
		std::optional<std::size_t> last = head->end;
		for (std::uint64_t i = 1; last && i < head->argument; ++i)
		{
			last = skip_item(_message, *last, depth);
		}
		if (!last)
		{
			return std::nullopt;
		}
		at = *last;
	}
	return std::nullopt;
}

std::string with_cbor_bytes_head(std::string _message, std::size_t _size)
{
	constexpr unsigned k_bytes_type = k_bytes << 5U;
	_message.pop_back();
	if (_size < k_one_byte)
	{
		_message += static_cast<char>(k_bytes_type | _size);
		return _message;
	}
	unsigned width = 0; // Binary logarithm of the bytes of the length.
	while (width < 3 && 0 != _size >> (8U << width))
	{
		++width;
	}
	_message += static_cast<char>(k_bytes_type | (k_one_byte + width));
	for (int shift = (8 << width) - 8; shift >= 0; shift -= 8)
	{
		_message += static_cast<char>(_size >> static_cast<unsigned>(shift) & 0xffU);
	}
	return _message;
}
} // namespace larkrack
