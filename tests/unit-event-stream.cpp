#include <mallowglade/detail/http1/event_stream.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;

class EventStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventStreamTest);
  CPPUNIT_TEST(anySplitOfTheBytesGivesTheSameStream);
  CPPUNIT_TEST(incompleteEventIsDroppedBeforeResuming);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against bytes lost or doubled where a read ends within an event.
  void anySplitOfTheBytesGivesTheSameStream() {
    const std::string Whole =
        "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {\"usage\":{\"x\":2}}\n\n"
        "data: [DONE]\n\n";
    for (std::size_t Split = 0; Split <= Whole.size(); ++Split) {
      EventStream Stream;
      std::string Passed = Stream.feed(Whole.substr(0, Split));
      Passed += Stream.feed(Whole.substr(Split));
      CPPUNIT_ASSERT_EQUAL(Whole, Passed);
      CPPUNIT_ASSERT(Stream.done());
      CPPUNIT_ASSERT_EQUAL(std::string("2"), Stream.lastEventId());
      CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":2}"), Stream.usage());
    }
  }

  // Guards against a torn event in front of a resumed stream.
  void incompleteEventIsDroppedBeforeResuming() {
    EventStream Stream;
    std::string Passed = Stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b");
    Stream.reset();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Stream.lastEventId());
    Passed += Stream.feed("id: 2\ndata: b\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);
