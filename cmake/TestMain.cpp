#define BOOST_TEST_MODULE persimmondoor
#include <boost/test/unit_test.hpp>
