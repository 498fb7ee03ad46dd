// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Keys and values in the platform's store as larkrackd writes them: the configuration's head, the resources,
/// the records and the shift driver's lease.
///
/// Owns: the names of the keys and the JSON of head and resources; the JSON of records belongs to ownership
/// and shift.
/// Relies on: the types of a configuration only. Pure functions.
#pragma once

#include "larkrackd/policy_p.h"

#include <string>

namespace larkrack
{
constexpr const char* k_prefix_all = "/larkrack/";
/// Head and resources of the configuration.
constexpr const char* k_prefix_head_and_config = "/larkrack/config/";
constexpr const char* k_key_head = "/larkrack/config/head";
constexpr const char* k_prefix_config = "/larkrack/config/r/";
constexpr const char* k_prefix_record = "/larkrack/record/";
constexpr const char* k_key_driver = "/larkrack/lease/driver";

/// Value of the key whose compare-and-swap puts a configuration in force.
struct config_head
{
	revision rev;
	revision base;  ///< Revision that the changes are based on; 0: the whole configuration was written.
	std::string by; ///< Id of the write.
};

std::string to_text(const config_head& _head);
/// @returns The head; revision 0 when the text is not a head.
config_head head_from_text(const std::string& _text);
std::string to_text(const resource_value& _value);
/// @returns The resource; an empty spec when the text is not a resource.
resource_value resource_from_text(const std::string& _text);
/// @returns Sequence in a record's text; 0 when there is none.
std::uint64_t record_sequence(const std::string& _text);

/// @returns Whether a key of the store belongs to a resource, or to a record.
bool is_resource_key(const std::string& _store_key);
bool is_record_key(const std::string& _store_key);
/// @returns "KIND/NAME" of a resource's key.
std::string resource_name(const std::string& _store_key);
/// @returns A record's own key, without the prefix.
std::string record_name(const std::string& _store_key);
} // namespace larkrack
