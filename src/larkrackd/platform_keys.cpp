// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/platform_keys_p.h"

#include "base/schema_p.h"

#include <cstring>

namespace larkrack
{
namespace
{
bool starts_with(const std::string& _text, const char* _prefix)
{
	return 0 == _text.rfind(_prefix, 0);
}
} // namespace

std::string to_text(const config_head& _head)
{
	return nlohmann::json({{"revision", _head.rev.value}, {"base", _head.base.value}, {"by", _head.by}})
	    .dump();
}

config_head head_from_text(const std::string& _text)
{
	const nlohmann::json document = object_from_text(_text);
	return {revision{document.value("revision", std::uint64_t{0})},
	    revision{document.value("base", std::uint64_t{0})}, document.value("by", "")};
}

std::string to_text(const resource_value& _value)
{
	return nlohmann::json({{"spec", _value.spec}, {"rev", _value.rev.value}, {"by", _value.by}}).dump();
}

resource_value resource_from_text(const std::string& _text)
{
	const nlohmann::json document = object_from_text(_text);
	return {document.value("spec", "{}"), revision{document.value("rev", std::uint64_t{0})},
	    document.value("by", "")};
}

std::uint64_t record_sequence(const std::string& _text)
{
	return object_from_text(_text).value("seq", std::uint64_t{0});
}

bool is_resource_key(const std::string& _store_key)
{
	return starts_with(_store_key, k_prefix_config);
}

bool is_record_key(const std::string& _store_key)
{
	return starts_with(_store_key, k_prefix_record);
}

std::string resource_name(const std::string& _store_key)
{
	return _store_key.substr(std::strlen(k_prefix_config));
}

std::string record_name(const std::string& _store_key)
{
	return _store_key.substr(std::strlen(k_prefix_record));
}
} // namespace larkrack
