// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Runs all fixtures, or those whose names contain one of the arguments; that none does is a failure.

#include "larkrackd/log_p.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace
{
/// @returns Whether a fixture was asked for: one of the arguments is part of its name, or there are none.
bool is_asked_for(const std::string& _fixture, const std::vector<std::string>& _arguments)
{
	return _arguments.empty() || std::any_of(_arguments.begin(), _arguments.end(),
	                                 [&_fixture](const std::string& _one)
	                                 {
		                                 return std::string::npos != _fixture.find(_one);
	                                 });
}
} // namespace

int main(int _count, char** _arguments)
{
	larkrack::log_init("test", "/dev/null");
	CppUnit::TestResult result;
	CppUnit::TestResultCollector collector;
	result.addListener(&collector);
	const std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
	const std::vector<std::string> asked(_arguments + 1, _arguments + _count);
	for (int at = 0; at < all->getChildTestCount(); ++at)
	{
		CppUnit::Test* fixture = all->getChildTestAt(at);
		if (is_asked_for(fixture->getName(), asked))
		{
			fixture->run(&result);
		}
	}
	CppUnit::CompilerOutputter(&collector, std::cerr).write();
	const auto failed = collector.testFailuresTotal();
	std::cout << (static_cast<int>(collector.runTests()) - failed) << " passed, " << failed << " failed"
	          << std::endl;
	return collector.wasSuccessful() && 0 < collector.runTests() ? 0 : 1;
}
