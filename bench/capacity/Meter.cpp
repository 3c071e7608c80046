#include "Meter.h"

#include <ctime>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace persimmondoor::capacity {

double threadMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double heapBytes()
{
    struct mallinfo2 usage = mallinfo2();
    return static_cast<double>(usage.uordblks) + static_cast<double>(usage.hblkhd);
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace persimmondoor::capacity
