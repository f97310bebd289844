#include "support/paged_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;
using mallowglade::testing::StoreFixture;

/// Entries that another writer left in the store.
class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(oddEntriesLeaveTheOthersInUse);
  CPPUNIT_TEST(oddKeysAtTheEndOfAPageLeaveTheOthers);
  CPPUNIT_TEST(oddValuesAreNotBase64);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a router that one entry of another writer ends, or keeps
  // from following the list: the valid entries beside it hold, and so do later
  // changes.
  void oddEntriesLeaveTheOthersInUse() {
    for (const std::string &Odd : oddEntries()) {
      StoreFixture F;
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, F.readyUpstreams().size());
      F.Platform.putBytes("servers/odd", Odd);
      F.Platform.putBytes("routers/odd", Odd);
      F.Platform.putBytes("quarantine/odd", Odd);
      F.Platform.put("i-5", "draining");
      F.Platform.put("i-6", "ready");
      const std::set<std::string> Expected{"i-1", "i-2", "i-3", "i-4", "i-6"};
      const std::string Message = Odd.substr(0, 80);
      CPPUNIT_ASSERT_MESSAGE(Message, F.readyUpstreams() == Expected);
      F.Platform.remove("i-1");
      F.Platform.remove("odd");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, std::size_t{4},
                                   F.readyUpstreams().size());
    }
  }

  // Guards against a key that ends the request line in which the next page is
  // requested, or the field that names the upstream.
  void oddKeysAtTheEndOfAPageLeaveTheOthers() {
    const std::string Valid =
        R"({"service":"pool","address":"127.0.0.1:9000","slots":4,)"
        R"("state":"ready"})";
    for (const std::string &Name :
         {std::string("i-1 b"), std::string("i-1&after=i-3"),
          std::string("i-1#%41+"), std::string("i-1\r\nX-Field: y"),
          std::string("i-1\0", 4), std::string("i-1\xc3\xa9")}) {
      StoreFixture F;
      F.Platform.putBytes("servers/" + Name, Valid);
      std::set<std::string> Ready = F.readyUpstreams();
      Ready.erase("i-1 b");
      Ready.erase("i-1&after=i-3");
      Ready.erase("i-1#%41+");
      Ready.erase("i-1\xc3\xa9");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t{5}, Ready.size());
    }
  }

  // Guards against a value whose padding is longer than its data, which ended
  // the process.
  void oddValuesAreNotBase64() {
    for (const char *Text : {"====", "=", "A===", "AA==========", "AAAA====",
                             "  ==", "A=AA", "%%%%", "AAA"})
      CPPUNIT_ASSERT_MESSAGE(Text, !detail::decodeBase64(Text));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *detail::decodeBase64("YQ=="));
    StoreFixture F;
    F.Platform.putText("servers/odd", "====");
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, F.readyUpstreams().size());
  }

private:
  static std::vector<std::string> oddEntries() {
    const auto Entry = [](const std::string &Address, const std::string &Slots,
                          const std::string &Extra = "") {
      return R"({"service":"pool","address":)" + Address + R"(,"slots":)" +
             Slots + R"(,"state":"ready")" + Extra + "}";
    };
    constexpr std::size_t Depth = 300'000;
    const std::string Nested =
        std::string(Depth, '[') + std::string(Depth, ']');
    const std::string Good = R"("127.0.0.1:9001")";
    return {Nested,
            Entry(Good, "4", R"(,"x":)" + Nested),
            Entry(Good, Nested),
            Entry(Good, "1e400"),
            Entry(Good, "1e300"),
            Entry(Good, "99999999999999999999"),
            Entry(Good, "-1"),
            Entry(Good, "1.5"),
            Entry(Good, "true"),
            Entry(Good, "\"4\""),
            Entry(Good, "4", R"(,"born":-5)"),
            Entry(Good, "4", R"(,"zone":7)"),
            Entry(R"("127.0.0.1:70000")", "4"),
            Entry(R"("127.0.0.1:99999999999999999999")", "4"),
            Entry(R"("127.0.0.1:-1")", "4"),
            Entry(R"("127.0.0.1:0")", "4"),
            Entry(R"("host:80")", "4"),
            Entry(R"("127.0.0.1\u0000x:80")", "4"),
            Entry("7", "4"),
            "{\"service\":\"pool\"",
            "\xff\xfe",
            "",
            "null",
            std::string(900'000, '7')};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);
