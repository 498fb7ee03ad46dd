// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// larkrack-fake-platform: fake platform with a key-value service that has the etcd v3 JSON API, and the list
/// of VMs, which lags behind the actual state. Faults are set at run time over HTTP.

#include "testing/fake_platform_p.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "IP:port to listen on");

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage("Fake of the platform's key-value service and list of VMs.");
	absl::FlagsUsageConfig config;
	config.version_string = []
	{
		return std::string("larkrack-fake-platform " LARKRACK_VERSION "\n");
	};
	absl::SetFlagsUsageConfig(config);
	absl::ParseCommandLine(_argc, _argv);
	larkrack::result<larkrack::endpoint> where = larkrack::parse_endpoint(absl::GetFlag(FLAGS_listen));
	if (const auto* failure = std::get_if<larkrack::error>(&where))
	{
		std::cerr << "--listen: " << failure->message << "\n";
		return 2;
	}
	boost::asio::io_context context(1);
	larkrack::fake_platform platform(context);
	if (const auto failure = platform.init(std::get<larkrack::endpoint>(where)))
	{
		std::cerr << failure->message << "\n";
		return 1;
	}
	boost::asio::signal_set signals(context, SIGINT, SIGTERM);
	signals.async_wait(
	    [&](const boost::system::error_code&, int)
	    {
		    context.stop();
	    });
	context.run();
	return 0;
}
