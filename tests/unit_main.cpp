#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdio>
#include <iostream>
#include <memory>
#include <vector>

namespace {

/// Every `Count`-th test case, from the given one on.
struct Shard {
  unsigned Index = 0;
  unsigned Count = 1;
};

void collectCases(CppUnit::Test &Tree, std::vector<CppUnit::Test *> &Cases) {
  const int Children = Tree.getChildTestCount();
  if (Children == 0 && Tree.countTestCases() > 0)
    Cases.push_back(&Tree);
  for (int Index = 0; Index < Children; ++Index)
    collectCases(*Tree.getChildTestAt(Index), Cases);
}

} // namespace

// Runs the suite or case that is named, one shard (`--shard=0/4`), or all.
int main(int Count, char **Arguments) {
  const std::unique_ptr<CppUnit::Test> All(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::Test *Selected = All.get();
  Shard Part;
  if (Count > 1 &&
      std::sscanf(Arguments[1], "--shard=%u/%u", &Part.Index, &Part.Count) < 2)
    Selected = All->findTest(Arguments[1]);
  if (Part.Index >= Part.Count) {
    std::cerr << "no such shard\n";
    return 2;
  }
  std::vector<CppUnit::Test *> Cases;
  collectCases(*Selected, Cases);

  CppUnit::TestResult Events;
  CppUnit::TestResultCollector Results;
  CppUnit::BriefTestProgressListener Progress;
  Events.addListener(&Results);
  Events.addListener(&Progress);
  for (std::size_t Index = Part.Index; Index < Cases.size();
       Index += Part.Count)
    Cases[Index]->run(&Events);
  CppUnit::CompilerOutputter(&Results, std::cerr).write();
  return Results.wasSuccessful() ? 0 : 1;
}
