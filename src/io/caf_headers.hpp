#ifndef CRANBERRYWOOD_IO_CAF_HEADERS_HPP
#define CRANBERRYWOOD_IO_CAF_HEADERS_HPP

// Precompiled: these headers take seconds to read.
#include <caf/all.hpp>
#include <caf/io/all.hpp>

#endif
