// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/grant_p.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace larkrack
{
namespace
{
/// Prefix of a grant, including the version of its format.
constexpr const char* k_prefix = "g1:";
/// Number of fields separated by colons, including prefix and signature.
constexpr std::size_t k_field_count = 8;
/// Size of the truncated HMAC in bytes. Fewer makes headers shorter and forgery easier.
constexpr std::size_t k_signature_bytes = 16;

std::string signed_text(const grant& _grant)
{
	return k_prefix + _grant.service + ":" + _grant.entry_vm + ":" + std::to_string(_grant.life.value) + ":" +
	       std::to_string(to_us(_grant.issued)) + ":" + std::to_string(to_us(_grant.expires)) + ":" +
	       std::to_string(_grant.nonce);
}
} // namespace

std::string signer::signature(const std::string& _text) const
{
	std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
	unsigned int size = 0;
	HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
	    reinterpret_cast<const unsigned char*>(_text.data()), _text.size(), digest.data(), &size);
	static const char* const s_digits = "0123456789abcdef";
	std::string hex;
	for (std::size_t at = 0; at < k_signature_bytes; ++at)
	{
		hex += s_digits[digest[at] >> 4];
		hex += s_digits[digest[at] & 15];
	}
	return hex;
}

bool signer::same(const std::string& _a, const std::string& _b)
{
	return _a.size() == _b.size() && 0 == CRYPTO_memcmp(_a.data(), _b.data(), _a.size());
}

std::string signer::sign(const grant& _grant) const
{
	const std::string body = signed_text(_grant);
	return body + ":" + signature(body);
}

result<grant> signer::read(const std::string& _text) const
{
	const error invalid{"bad_grant", "the grant is malformed or forged"};
	const std::string text = _text.substr(0, _text.find('/'));
	std::vector<std::string> fields;
	boost::split(fields, text, boost::is_any_of(":"));
	if (k_field_count != fields.size())
	{
		return invalid;
	}
	grant read;
	// Malformed numbers become 0; then the signature of the text rebuilt from the fields does not match.
	read.service = fields[1];
	read.entry_vm = fields[2];
	read.life.value = std::strtoull(fields[3].c_str(), nullptr, 10);
	read.issued = from_us(std::strtoll(fields[4].c_str(), nullptr, 10));
	read.expires = from_us(std::strtoll(fields[5].c_str(), nullptr, 10));
	read.nonce = std::strtoull(fields[6].c_str(), nullptr, 10);
	const std::string body = signed_text(read);
	if (!same(signature(body), fields[7]))
	{
		return invalid;
	}
	return read;
}

bool is_granted_key(const std::string& _key)
{
	return 0 == _key.rfind(k_prefix, 0);
}
} // namespace larkrack
