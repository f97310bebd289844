#include <mallowglade/detail/http1/event_stream.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;

class EventStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventStreamTest);
  CPPUNIT_TEST(outputDoesNotDependOnReadBoundaries);
  CPPUNIT_TEST(incompleteEventIsDiscardedBeforeResuming);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against bytes lost or duplicated when a read ends within an event.
  void outputDoesNotDependOnReadBoundaries() {
    const std::string Input =
        "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {\"usage\":{\"x\":2}}\n\n"
        "data: [DONE]\n\n";
    for (std::size_t Split = 0; Split <= Input.size(); ++Split) {
      EventStream Stream;
      std::string Output = Stream.feed(Input.substr(0, Split));
      Output += Stream.feed(Input.substr(Split));
      CPPUNIT_ASSERT_EQUAL(Input, Output);
      CPPUNIT_ASSERT(Stream.done());
      CPPUNIT_ASSERT_EQUAL(std::string("2"), Stream.lastEventId());
      CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":2}"), Stream.usage());
    }
  }

  // Guards against forwarding a partial event before the resumed stream repeats
  // that event.
  void incompleteEventIsDiscardedBeforeResuming() {
    EventStream Stream;
    std::string Output = Stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b");
    Stream.reset();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Stream.lastEventId());
    Output += Stream.feed("id: 2\ndata: b\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         Output);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);
