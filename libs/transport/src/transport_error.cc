// A socket could not be opened.

#include "gooseberryrock/transport/transport_error.h"
