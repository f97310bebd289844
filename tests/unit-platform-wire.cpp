#include "../platform/wire.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cmath>

using namespace mallowglade;

namespace {

dataplane::RequestMetadata
readRequest(const std::vector<http1::HeaderField> &Fields) {
  http1::HeaderList Headers;
  for (const http1::HeaderField &Field : Fields)
    Headers.add(Field.Name, Field.Value);
  return platform::PlatformWire().readRequest(Headers);
}

} // namespace

class PlatformWireTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformWireTest);
  CPPUNIT_TEST(numbersOfCallersAreBounded);
  CPPUNIT_TEST(partsOfPromptsAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against loads, shares and deadlines that a number of one caller
  // makes negative, endless or overflow.
  void numbersOfCallersAreBounded() {
    for (const std::string Number :
         {"-1", "-9223372036854775808", "9223372036854775807",
          "99999999999999999999", "1e300", "nan", "", "x", "5000000000"}) {
      const auto Metadata = readRequest(
          {{"Mallowglade-Deadline-Ms", Number},
           {"Mallowglade-Token-Usage", fmt::format("{0},{0}", Number)},
           {"Mallowglade-Length-Hint", Number},
           {"Mallowglade-Prefix-Hash", fmt::format("a:{0},b:{0}", Number)}});
      if (Metadata.Deadline) {
        CPPUNIT_ASSERT_MESSAGE(Number, Metadata.Deadline->count() >= 0);
        CPPUNIT_ASSERT_MESSAGE(Number,
                               *Metadata.Deadline <= std::chrono::hours(24));
      }
      constexpr double MaxTokens = 1e9;
      for (const double Tokens :
           {Metadata.PromptTokens, Metadata.MaxOutputTokens,
            Metadata.ExpectedOutputTokens, Metadata.Parts.at(0).Tokens,
            Metadata.Parts.at(1).Tokens})
        CPPUNIT_ASSERT_MESSAGE(Number, Tokens >= 0 && Tokens <= MaxTokens);
    }
    const auto Usual = readRequest({{"Mallowglade-Deadline-Ms", "2500"},
                                    {"Mallowglade-Token-Usage", "1460, 80"}});
    CPPUNIT_ASSERT(Usual.Deadline == Milliseconds(2'500));
    CPPUNIT_ASSERT_EQUAL(1'460.0, Usual.PromptTokens);
    CPPUNIT_ASSERT_EQUAL(80.0, Usual.MaxOutputTokens);
  }

  // Guards against a head whose parts take the time of other requests.
  void partsOfPromptsAreBounded() {
    std::string Parts;
    for (int Index = 0; Index < 8'000; ++Index)
      Parts += std::to_string(Index) + ",";
    const auto Metadata = readRequest({{"Mallowglade-Prefix-Hash", Parts}});
    CPPUNIT_ASSERT(!Metadata.Parts.empty());
    CPPUNIT_ASSERT(Metadata.Parts.size() <= 256);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformWireTest);
