#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

int main() {
  CppUnit::TextUi::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.setOutputter(
      new CppUnit::CompilerOutputter(&Runner.result(), std::cerr));
  return Runner.run("", false, true, false) ? 0 : 1;
}
