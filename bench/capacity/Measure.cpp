#include "Measure.h"

namespace persimmondoor::capacity {

Slopes measureAll()
{
    Slopes all;
    for (Slopes (*measure)() : { measureEntry, measureOwner, measureLeases, measureHost, measureSystem }) {
        Slopes part = measure();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

} // namespace persimmondoor::capacity
