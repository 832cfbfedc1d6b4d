#define BOOST_TEST_MODULE sassafrasquay soak
#include <boost/test/unit_test.hpp>
