// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/store_changes_codec_p.h"

#include "base/cbor_p.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <variant>

namespace larkrack
{
namespace
{
/// First field of a message of changes, its layout; differs from the layout of heartbeats.
constexpr int k_layout = 102;
/// First field of a page of keys, its layout.
constexpr int k_page_layout = 104;
/// Number of fields of a page.
constexpr std::size_t k_page_fields = 4;
/// Number of fields of a row of a page: key, value, revision.
constexpr std::size_t k_row_fields = 3;
/// Maximum size of the keys and values in one datagram, bytes.
constexpr std::size_t k_datagram_bytes = 1200;

/// A put or a delete.
struct single_change
{
	std::int64_t revision = 0;
	std::variant<store_value, store_delete> change;

	std::size_t bytes() const
	{
		const store_value* put = std::get_if<store_value>(&change);
		return nullptr != put ? put->key.size() + put->value.size()
		                      : std::get<store_delete>(change).key.size();
	}
	void move_to(watch_batch& _batch)
	{
		if (store_value* put = std::get_if<store_value>(&change))
		{
			_batch.puts.push_back(std::move(*put));
			return;
		}
		_batch.deletes.push_back(std::move(std::get<store_delete>(change)));
	}
};

/// @returns The changes of a batch, sorted by revision.
std::vector<single_change> sorted_by_revision(const watch_batch& _batch)
{
	std::vector<single_change> changes;
	for (const store_value& value : _batch.puts)
	{
		changes.push_back({value.mod_revision, value});
	}
	for (const store_delete& deleted : _batch.deletes)
	{
		changes.push_back(
		    {0 == deleted.mod_revision ? _batch.store_revision : deleted.mod_revision, deleted});
	}
	std::stable_sort(changes.begin(), changes.end(),
	    [](const single_change& _left, const single_change& _right)
	    {
		    return _left.revision < _right.revision;
	    });
	return changes;
}
} // namespace

std::vector<std::uint8_t> encode(const store_changes& _changes)
{
	nlohmann::json puts = nlohmann::json::array();
	for (const store_value& value : _changes.batch.puts)
	{
		puts.push_back({value.key, value.value, value.mod_revision});
	}
	nlohmann::json deletes = nlohmann::json::array();
	for (const store_delete& deleted : _changes.batch.deletes)
	{
		deletes.push_back({deleted.key, deleted.mod_revision});
	}
	const nlohmann::json document = {k_layout, _changes.after, _changes.whole, _changes.batch.store_revision,
	    std::move(puts), std::move(deletes)};
	return nlohmann::json::to_cbor(document);
}

result<store_changes> decode_store_changes(const std::uint8_t* _data, std::size_t _size)
{
	try
	{
		const nlohmann::json document = parse_cbor(_data, _data + _size);
		if (!document.is_array() || document.empty() || k_layout != document.at(0).get<int>())
		{
			return error{"bad_changes", "unsupported layout"};
		}
		store_changes changes;
		changes.after = document.at(1).get<std::int64_t>();
		changes.whole = document.at(2).get<bool>();
		changes.batch.store_revision = document.at(3).get<std::int64_t>();
		for (const nlohmann::json& row : document.at(4))
		{
			store_value value;
			value.key = row.at(0).get<std::string>();
			value.value = row.at(1).get<std::string>();
			value.mod_revision = row.at(2).get<std::int64_t>();
			changes.batch.puts.push_back(std::move(value));
		}
		for (const nlohmann::json& row : document.at(5))
		{
			changes.batch.deletes.push_back({row.at(0).get<std::string>(), row.at(1).get<std::int64_t>()});
		}
		return changes;
	}
	catch (const nlohmann::json::exception& exception)
	{
		return error{"bad_changes", exception.what()};
	}
}

std::vector<std::uint8_t> encode(const state_page& _page)
{
	nlohmann::json rows = nlohmann::json::array();
	for (const store_value& value : _page.values)
	{
		rows.push_back({value.key, value.value, value.mod_revision});
	}
	const nlohmann::json document = {k_page_layout, _page.store_revision, _page.more, std::move(rows)};
	return nlohmann::json::to_cbor(document);
}

result<state_page> decode_state_page(const std::vector<std::uint8_t>& _bytes, const std::string& _after)
{
	const nlohmann::json document = parse_cbor(_bytes.begin(), _bytes.end());
	const bool valid = document.is_array() && k_page_fields == document.size() &&
	                   k_page_layout == document[0] && document[1].is_number_integer() &&
	                   document[2].is_boolean() && document[3].is_array();
	if (!valid)
	{
		return error{"bad_page", "not a page of keys"};
	}
	state_page page;
	page.store_revision = document[1];
	page.more = document[2];
	for (const nlohmann::json& row : document[3])
	{
		const bool valid_row = row.is_array() && k_row_fields == row.size() && row[0].is_string() &&
		                       row[1].is_string() && row[2].is_number_integer();
		if (!valid_row)
		{
			return error{"bad_page", "invalid row"};
		}
		const std::string& last = page.values.empty() ? _after : page.values.back().key;
		store_value value{row[0], row[1], row[2], 0};
		if (value.key <= last)
		{
			return error{"bad_page", "keys out of order"};
		}
		page.values.push_back(std::move(value));
	}
	if (page.store_revision <= 0 || (page.more && page.values.empty()))
	{
		return error{"bad_page", "a page without progress"};
	}
	return page;
}

bool remove_if_oversized(watch_batch& _batch, const std::string& _key)
{
	const auto is_large = [&_key](const store_value& _value)
	{
		return _value.key == _key && _value.key.size() + _value.value.size() > k_datagram_bytes;
	};
	const auto kept = std::remove_if(_batch.puts.begin(), _batch.puts.end(), is_large);
	const bool found = kept != _batch.puts.end();
	_batch.puts.erase(kept, _batch.puts.end());
	return found;
}

std::vector<store_changes> split_for_datagrams(const store_changes& _changes)
{
	std::vector<single_change> ordered = sorted_by_revision(_changes.batch);
	std::vector<store_changes> parts;
	store_changes part;
	part.after = _changes.after;
	std::size_t bytes = 0;
	std::int64_t last_revision = 0;
	for (single_change& next : ordered)
	{
		if (next.bytes() > k_datagram_bytes)
		{
			return {};
		}
		// Changes that were written together have the same revision and must not be separated, because a part
		// is complete up to its revision.
		const bool next_revision = 0 == bytes || last_revision != next.revision;
		if (bytes + next.bytes() > k_datagram_bytes && next_revision)
		{
			part.batch.store_revision = last_revision;
			parts.push_back(std::move(part));
			part = {};
			part.after = last_revision;
			bytes = 0;
		}
		bytes += next.bytes();
		last_revision = next.revision;
		next.move_to(part.batch);
	}
	part.batch.store_revision = _changes.batch.store_revision;
	parts.push_back(std::move(part));
	return parts;
}
} // namespace larkrack
