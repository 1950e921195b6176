/** @file memory_support.h Memory of the test process. */
#ifndef LABURNUMWEIR_TESTS_SUPPORT_MEMORY_SUPPORT_H
#define LABURNUMWEIR_TESTS_SUPPORT_MEMORY_SUPPORT_H

#include <cstddef>
#include <fstream>
#include <unistd.h>

namespace laburnumweir::testing_support {

/** @return resident memory of this process in bytes. */
inline std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace laburnumweir::testing_support

#endif
