// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/relay_mark_p.h"

#include <cstdlib>

namespace larkrack
{
namespace
{
/// Maximum age of a valid mark, also into the future. For this long an intercepted mark can be replayed for
/// its own request id, and by this much clocks may differ.
constexpr std::chrono::seconds k_max_mark_age{30};
} // namespace

std::string make_relay_mark(
    const signer& _signer, const std::string& _id, request_origin _origin, wall_time _now)
{
	const std::string text =
	    (request_origin::for_key == _origin ? "key:" : "slot:") + _id + ":" + std::to_string(to_us(_now));
	return text + ":" + _signer.signature(text);
}

std::optional<request_origin> read_relay_mark(
    const signer& _signer, const std::string& _mark, const std::string& _id, wall_time _now)
{
	const std::size_t signature_colon = _mark.rfind(':');
	if (std::string::npos == signature_colon ||
	    !signer::same(_signer.signature(_mark.substr(0, signature_colon)), _mark.substr(signature_colon + 1)))
	{
		return std::nullopt;
	}
	const std::size_t time_colon = _mark.rfind(':', signature_colon - 1);
	const std::chrono::microseconds age(
	    to_us(_now) - std::strtoll(_mark.c_str() + time_colon + 1, nullptr, 10));
	const std::string id = _mark.substr(_mark.find(':') + 1, time_colon - _mark.find(':') - 1);
	if (k_max_mark_age <= age || age <= -k_max_mark_age || id != _id)
	{
		return std::nullopt;
	}
	return 0 == _mark.rfind("key:", 0) ? request_origin::for_key : request_origin::for_slot;
}
} // namespace larkrack
